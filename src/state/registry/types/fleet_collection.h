/// \file
/// Collections of the platform's store that the fleet watches.
#pragma once

#include <array>
#include <span>
#include <string_view>

namespace peridot {

/// The values are sent between VMs.
enum class fleet_collection { Configuration, Targets, Vms, Evacuations };

inline constexpr std::array AllCollections{
    fleet_collection::Configuration, fleet_collection::Targets,
    fleet_collection::Vms, fleet_collection::Evacuations};

/// Returns the collections that a VM follows.
/// \param WithEvacuations whether the deployment has evacuations.
constexpr std::span<const fleet_collection>
followedCollections(bool WithEvacuations) {
  const std::span<const fleet_collection> All(AllCollections);
  return WithEvacuations ? All : All.first(All.size() - 1);
}

/// Returns the name that logs use.
constexpr std::string_view nameOf(fleet_collection Collection) {
  switch (Collection) {
  case fleet_collection::Configuration:
    return "configuration";
  case fleet_collection::Targets:
    return "targets";
  case fleet_collection::Vms:
    return "vms";
  case fleet_collection::Evacuations:
    return "evacuations";
  }
  return "unknown";
}

} // namespace peridot
