/// \file
/// Floor: the minimum serving capacity that ejections must leave a service.
#pragma once

#include <span>

#include "coordination/health/types/service_verdicts.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Capacity of a target and whether it gets new requests.
struct target_capacity {
  unsigned Slots = 0;
  bool Serving = true;
};

/// Number of slots that must serve, rounded up.
unsigned floorSlots(std::span<const target_capacity> Targets,
                    unsigned FloorPercent);

/// Number of slots of the serving targets.
unsigned servingSlots(std::span<const target_capacity> Targets);

/// Whether the service keeps its floor if \p Slots more stop serving.
bool mayRemove(std::span<const target_capacity> Targets, unsigned FloorPercent,
               unsigned Slots);

} // namespace peridot
