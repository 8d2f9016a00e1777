/// \file
/// Role of a VM in detecting one service's failing targets.
#pragma once

#include <variant>

#include "coordination/health/service_health.h"

namespace peridot {

/// Another VM owns the service and is reachable; this VM applies its verdicts.
struct following_role {};

/// This VM became the owner and collects the verdicts that its peers hold.
struct recovering_role {
  epoch Term;
  instant Until;
  service_health Detector;
};

/// This VM owns the service and decides for the fleet.
struct owning_role {
  epoch Term;
  service_health Detector;
};

/// No owner is reachable; this VM decides for its own traffic only.
struct standalone_role {
  service_health Detector;
};

using service_role =
    std::variant<following_role, recovering_role, owning_role, standalone_role>;

/// Returns the detector of \p Role, or nullptr for a follower.
inline service_health *detectorOf(service_role &Role) {
  if (auto *Recovering = std::get_if<recovering_role>(&Role))
    return &Recovering->Detector;
  if (auto *Owning = std::get_if<owning_role>(&Role))
    return &Owning->Detector;
  if (auto *Standalone = std::get_if<standalone_role>(&Role))
    return &Standalone->Detector;
  return nullptr;
}

} // namespace peridot
