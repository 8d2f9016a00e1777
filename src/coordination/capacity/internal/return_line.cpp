#include "coordination/capacity/return_line.h"

#include <algorithm>

namespace peridot {

namespace {

using seconds = std::chrono::duration<double>;

/// Maximum length of a line. Callers have usually given up by then.
constexpr seconds MaxLength{10.0};
/// Callers beyond the maximum are spread over this fraction before its end.
constexpr double SpreadAtLimit = 0.3;
/// Part of the line's length after which an urgent caller comes back.
constexpr double UrgentPart = 0.5;
/// Minimum rate assumed, in requests per second.
constexpr double MinRate = 0.1;

/// Returns a number from 0 to 1.
double fractionOf(std::uint64_t Random) {
  constexpr std::uint64_t Steps = 1U << 20U;
  return static_cast<double>(Random % Steps) / static_cast<double>(Steps);
}

} // namespace

duration return_line::join(const return_conditions &Conditions, instant Now,
                           std::uint64_t Random) {
  Shares.record(Conditions.Class);
  const bool IsUrgent = Shares.fractionBefore(Conditions.Class) < 0.5;
  const seconds Earliest = std::min<seconds>(Conditions.Earliest, MaxLength);
  const seconds Gap(1 / std::max(Conditions.PerSecond, MinRate));
  const seconds Ahead = std::max(seconds(LastReturn - Now), Earliest);
  const seconds Limit = Earliest + MaxLength;
  const seconds Length = std::min(Ahead + Gap, Limit);
  LastReturn = Now + std::chrono::duration_cast<duration>(Length);
  // Within the line, a caller comes back at any moment of its own part of it.
  const seconds Spread = Ahead + Gap < Limit ? Gap : MaxLength * SpreadAtLimit;
  const seconds Wait = Length - Spread * fractionOf(Random) - Earliest;
  return std::chrono::duration_cast<duration>(
      Earliest + Wait * (IsUrgent ? UrgentPart : 1.0));
}

} // namespace peridot
