/// \file
/// Collections of the platform's store that the fleet watches.
#pragma once

#include <array>
#include <string_view>

namespace peridot {

enum class fleet_collection { Configuration, Targets, Vms };

inline constexpr std::array AllCollections{fleet_collection::Configuration,
                                           fleet_collection::Targets,
                                           fleet_collection::Vms};

/// Returns the name that logs use.
constexpr std::string_view nameOf(fleet_collection Collection) {
  switch (Collection) {
  case fleet_collection::Configuration:
    return "configuration";
  case fleet_collection::Targets:
    return "targets";
  case fleet_collection::Vms:
    return "vms";
  }
  return "unknown";
}

} // namespace peridot
