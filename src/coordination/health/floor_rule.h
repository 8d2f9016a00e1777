/// \file
/// The floor of healthy capacity that ejections must leave to a service.
#pragma once

#include <span>

#include "coordination/health/types/service_verdicts.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// A target's capacity and whether all VMs give it new work.
struct slot_holder {
  unsigned Slots = 0;
  bool Serving = true;
};

/// Slots that must serve; rounded up.
unsigned floorSlots(std::span<const slot_holder> Targets,
                    unsigned FloorPercent);

/// Slots of the targets that serve.
unsigned servingSlots(std::span<const slot_holder> Targets);

/// True if the service keeps its floor without \p Slots more.
bool mayRemove(std::span<const slot_holder> Targets, unsigned FloorPercent,
               unsigned Slots);

} // namespace peridot
