/// \file
/// What to ask next to keep a copy of a collection up to date.
#pragma once

#include <optional>
#include <variant>

#include "state/base/types/instant.h"

namespace peridot {

/// Read the whole collection.
struct list_step {};

/// Wait for changes after a position in the store's history.
struct watch_step {
  std::uint64_t After = 0;
};

/// Ask nothing for a while.
struct pause_step {
  duration Delay{0};
};

using sync_step = std::variant<list_step, watch_step, pause_step>;

struct sync_options {
  /// Changes that come within this time of each other are read together.
  duration Gathering = std::chrono::milliseconds(300);
  duration FirstRetry = std::chrono::milliseconds(100);
  duration LongestRetry = std::chrono::milliseconds(400); ///< At first.
};

/// Changes that another VM has read from the store: all between two positions.
struct relayed_range {
  std::uint64_t After = 0;
  std::uint64_t Position = 0;
};

/// What to do with changes that another VM has read.
enum class relay_verdict {
  Apply,
  Known,  ///< The copy has them already.
  Missing ///< Changes before them are missing; the collection is listed.
};

/// Lists once, then watches or takes what others have read; lists again when
/// the history is gone or changes are missing.
class collection_sync {
public:
  explicit collection_sync(sync_options Options = {}) : Options(Options) {}

  sync_step next();
  /// False when a list or watch ends before what the copy holds already.
  bool accepts(std::uint64_t Reached) const {
    return !Position || Reached >= *Position;
  }
  /// A list or a watch brought the copy up to \p Position.
  void reached(std::uint64_t Position, bool Changed);
  /// Judges changes that another VM has read; they count as applied.
  relay_verdict relayed(const relayed_range &Range);
  /// Another VM has read up to \p Reached; its changes may be on their way.
  void othersReached(std::uint64_t Reached);
  /// Called periodically: what others had reached before the last call must
  /// have arrived by now.
  void compareWithOthers();
  /// True if the copy cannot go on with changes that others read.
  bool needsList() const { return !Position || Failures > 0 || Incomplete; }
  /// \returns up to where the copy is complete; 0: nowhere.
  std::uint64_t position() const { return Position.value_or(0); }
  void historyGone();
  void setLongestRetry(duration Longest) { Options.LongestRetry = Longest; }
  /// A call failed; the next one waits longer each time.
  void failed();
  /// \returns calls that have failed in a row.
  unsigned failures() const { return Failures; }

private:
  sync_options Options;
  std::optional<std::uint64_t> Position;
  duration Pause{0};
  unsigned Failures = 0;
  bool Incomplete = false;   ///< Changes are known to be missing.
  std::uint64_t Others = 0;  ///< Up to where other VMs have read.
  std::uint64_t Awaited = 0; ///< Others at the last comparison.
};

} // namespace peridot
