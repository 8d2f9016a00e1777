/// \file
/// The part that a VM takes in judging one service's targets.
#pragma once

#include <variant>

#include "coordination/health/service_health.h"

namespace peridot {

/// Another VM owns the service and can be reached.
struct following_role {};

/// This VM became the owner and learns which verdicts its peers hold.
struct recovering_role {
  epoch Term;
  instant Until;
  service_health Detector;
};

/// This VM decides for the fleet.
struct owning_role {
  epoch Term;
  service_health Detector;
};

/// No owner can be reached; this VM shifts its own traffic only.
struct alone_role {
  service_health Detector;
};

using service_role =
    std::variant<following_role, recovering_role, owning_role, alone_role>;

/// The detector of a role; nullptr for a follower.
inline service_health *detectorOf(service_role &Role) {
  if (auto *Recovering = std::get_if<recovering_role>(&Role))
    return &Recovering->Detector;
  if (auto *Owning = std::get_if<owning_role>(&Role))
    return &Owning->Detector;
  if (auto *Alone = std::get_if<alone_role>(&Role))
    return &Alone->Detector;
  return nullptr;
}

} // namespace peridot
