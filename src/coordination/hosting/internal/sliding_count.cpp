#include "coordination/hosting/sliding_count.h"

#include <algorithm>
#include <numeric>

namespace peridot {

void sliding_count::setWindow(duration Length) {
  const duration Wanted = Length / SlotsInWindow;
  if (Wanted == SlotLength)
    return;
  SlotLength = Wanted;
  Latest = 0;
  Counts.fill(0);
}

void sliding_count::advance(instant Now) {
  const std::int64_t Current = Now.time_since_epoch() / SlotLength;
  const std::int64_t Passed = std::min(Current - Latest, Slots);
  for (std::int64_t Each = 0; Each < Passed; ++Each)
    Counts[static_cast<std::size_t>((Current - Each) % Slots)] = 0;
  Latest = std::max(Latest, Current);
}

void sliding_count::note(instant Now) {
  if (SlotLength == duration{0})
    return;
  advance(Now);
  ++Counts[static_cast<std::size_t>(Latest % Slots)];
}

unsigned sliding_count::within(instant Now) {
  if (SlotLength == duration{0})
    return 0;
  advance(Now);
  return std::accumulate(Counts.begin(), Counts.end(), 0U);
}

} // namespace peridot
