#include "coordination/health/floor_rule.h"

namespace peridot {

namespace {

constexpr unsigned WholePercent = 100;

unsigned allSlots(std::span<const target_capacity> Targets) {
  unsigned Sum = 0;
  for (const target_capacity &Target : Targets)
    Sum += Target.Slots;
  return Sum;
}

} // namespace

unsigned floorSlots(std::span<const target_capacity> Targets,
                    unsigned FloorPercent) {
  return (allSlots(Targets) * FloorPercent + WholePercent - 1) / WholePercent;
}

unsigned servingSlots(std::span<const target_capacity> Targets) {
  unsigned Sum = 0;
  for (const target_capacity &Target : Targets)
    Sum += Target.Serving ? Target.Slots : 0;
  return Sum;
}

bool mayRemove(std::span<const target_capacity> Targets, unsigned FloorPercent,
               unsigned Slots) {
  return servingSlots(Targets) >= floorSlots(Targets, FloorPercent) + Slots;
}

} // namespace peridot
