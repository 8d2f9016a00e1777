/// \file
/// Tracks for how long the platform's store has been available to any VM that
/// this one knows of.
#pragma once

#include <optional>

#include "state/base/types/instant.h"

namespace peridot {

struct availability_options {
  /// The store counts as unavailable after it has responded to no known VM for
  /// this long.
  duration SilenceLimit = std::chrono::milliseconds(1'200);
  /// A longer silence starts a new period of availability. A shorter one does
  /// not, as targets keep their entries for longer without a renewal.
  duration MaxInterruption = std::chrono::seconds(2);
};

/// Distinguishes an outage of the store from one of this VM's own connection:
/// responses to other VMs count like those to this one.
class store_availability {
public:
  explicit store_availability(availability_options Options = {})
      : Options(Options) {}

  /// Records that the store responded to this VM at \p At.
  void recordResponse(instant At) { record(At, At); }
  /// Records a watcher's report that the store has responded to it without
  /// interruption for \p RespondingFor.
  void recordReport(duration RespondingFor, instant Now) {
    record(Now - RespondingFor, Now);
  }
  /// Returns since when the store has been available; empty if it is not.
  std::optional<instant> availableSince(instant Now) const;

private:
  void record(instant Since, instant At);

  availability_options Options;
  std::optional<instant> Start;
  instant LastResponseAt{};
};

} // namespace peridot
