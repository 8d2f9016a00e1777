/// \file
/// Tells the limit on requests to cold targets what the control thread knows.
#pragma once

#include <span>

#include "coordination/load_balancing/cold_targets.h"
#include "transport/node/control_context.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Runs on the control thread. Logs which targets become cold and warm.
class cold_target_driver {
public:
  explicit cold_target_driver(node_services &Services);

  void start();
  /// Applies a list of all entries or the changes since the last result.
  void apply(const store_items &Items, bool IsList);
  /// Applies the hosts of this data centre and the number of its registered
  /// VMs; called at each tick of the election.
  void setHosts(std::span<const vm_name> Hosts, std::size_t RegisteredVms);
  /// Applies the configuration in force.
  void configurationAccepted();

  /// Used by the traffic threads.
  cold_targets &targets() { return Targets; }

private:
  void logChanges(instant Now);

  node_services &Services;
  cold_targets Targets;
  timer_subscription Timer;
};

} // namespace peridot
