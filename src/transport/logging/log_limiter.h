/// \file
/// Rate limit for the log lines of a process, per event.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "state/base/types/instant.h"

namespace peridot {

/// Number of lines of one event that were not written.
struct dropped_lines {
  std::string Event;
  std::uint64_t Count = 0;
};

/// Admits up to MaxLinesPerSecond lines of each event per second. Thread-safe.
class log_limiter {
public:
  static constexpr std::uint64_t MaxLinesPerSecond = 300;

  /// Returns whether a line of \p Event may be written, and counts the line as
  /// written or dropped.
  bool admit(std::string_view Event, instant Now);
  /// Counts an admitted line of \p Event that could not be written. Events that
  /// admit() has not seen are ignored.
  void countDropped(std::string_view Event);
  /// Returns and resets the numbers of dropped lines. Empty within a second of
  /// the last call that reset them.
  std::vector<dropped_lines> takeDropped(instant Now);

private:
  struct event_counts {
    instant PeriodStart{};
    std::uint64_t Written = 0;
    std::uint64_t Dropped = 0;
  };

  std::mutex Mutex;
  std::map<std::string, event_counts, std::less<>> Events;
  instant LastTakenAt{};
};

} // namespace peridot
