#include "transport/logging/log_limiter.h"

#include <utility>

namespace peridot {

namespace {

/// Period of the line limit, and shortest time between two takeDropped results.
constexpr std::chrono::seconds CountingPeriod{1};

} // namespace

bool log_limiter::admit(std::string_view Event, instant Now) {
  const std::lock_guard Lock(Mutex);
  auto Found = Events.find(Event);
  if (Found == Events.end())
    Found = Events.emplace(std::string(Event), event_counts{.PeriodStart = Now})
                .first;
  event_counts &Counts = Found->second;
  if (Now - Counts.PeriodStart >= CountingPeriod) {
    Counts.PeriodStart = Now;
    Counts.Written = 0;
  }
  if (Counts.Written < MaxLinesPerSecond) {
    ++Counts.Written;
    return true;
  }
  ++Counts.Dropped;
  return false;
}

void log_limiter::countDropped(std::string_view Event) {
  const std::lock_guard Lock(Mutex);
  if (const auto Found = Events.find(Event); Found != Events.end())
    ++Found->second.Dropped;
}

std::vector<dropped_lines> log_limiter::takeDropped(instant Now) {
  const std::lock_guard Lock(Mutex);
  std::vector<dropped_lines> Dropped;
  if (Now - LastTakenAt < CountingPeriod)
    return Dropped;
  LastTakenAt = Now;
  for (auto &[Event, Counts] : Events)
    if (Counts.Dropped > 0)
      Dropped.push_back({Event, std::exchange(Counts.Dropped, 0)});
  return Dropped;
}

} // namespace peridot
