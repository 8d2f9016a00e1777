/// \file
/// Division of a data centre's targets among its hosts.
///
/// VMs that choose targets by the same reports of load agree on the same
/// cheapest target and overrun it together. Each host therefore has targets of
/// its own, which it prefers while they have free slots. All VMs compute the
/// same division from the list of hosts, so nothing has to be exchanged for it;
/// VMs with different lists only share some targets for a while.
#pragma once

#include <span>
#include <unordered_set>
#include <vector>

#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Names of the targets that one VM prefers.
using target_subset = std::unordered_set<target_name>;

/// The hosts that divide the targets of their data centre.
struct dividing_hosts {
  data_center_name DataCenter;
  vm_name Self;
  /// Of DataCenter, in any order. Without Self, it gets no targets.
  std::span<const vm_name> Hosts;
};

/// Adds to \p Subset the targets of one service that belong to Hosts.Self. Each
/// host gets about the same number of slots. With more hosts than targets, each
/// host gets one target and several hosts have the same one. When a host joins
/// or leaves, most targets stay where they are.
void addOwnTargets(std::span<const target> ServiceTargets,
                   const dividing_hosts &Hosts, target_subset &Subset);

} // namespace peridot
