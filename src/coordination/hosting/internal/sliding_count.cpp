#include "coordination/hosting/sliding_count.h"

#include <algorithm>
#include <numeric>

namespace peridot {

void sliding_count::setWindow(duration Length) {
  const duration NewSlotLength = Length / SlotsInWindow;
  if (NewSlotLength == SlotLength)
    return;
  SlotLength = NewSlotLength;
  LatestSlot = 0;
  Counts.fill(0);
}

void sliding_count::advance(instant Now) {
  const std::int64_t CurrentSlot = Now.time_since_epoch() / SlotLength;
  const std::int64_t Passed = std::min(CurrentSlot - LatestSlot, Slots);
  for (std::int64_t Step = 0; Step < Passed; ++Step)
    Counts[static_cast<std::size_t>((CurrentSlot - Step) % Slots)] = 0;
  LatestSlot = std::max(LatestSlot, CurrentSlot);
}

void sliding_count::note(instant Now) {
  if (SlotLength == duration{0})
    return;
  advance(Now);
  ++Counts[static_cast<std::size_t>(LatestSlot % Slots)];
}

unsigned sliding_count::count(instant Now) {
  if (SlotLength == duration{0})
    return 0;
  advance(Now);
  return std::accumulate(Counts.begin(), Counts.end(), 0U);
}

} // namespace peridot
