/// \file
/// Rate at which a service completes requests on this VM.
#pragma once

#include <cstddef>
#include <optional>

#include "state/base/types/instant.h"

namespace peridot {

/// Moving average of the time for which requests hold a slot. The rate follows
/// from it and the number of slots, so it is also known right after the number
/// has changed.
class completion_rate {
public:
  /// Records that a request held a slot for \p Held.
  void record(duration Held);
  /// Returns the mean time between two completions while all \p Slots are in
  /// use; empty before the first completion or without slots.
  std::optional<duration> timePerCompletion(std::size_t Slots) const;

private:
  duration MeanHeld{0};
  unsigned Count = 0; ///< Completions, up to the size of the average.
};

} // namespace peridot
