/// \file
/// The sparse graph over which VMs exchange periodic messages.
#pragma once

#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"

namespace peridot {

/// Size of a VM's neighbourhood.
struct neighbour_options {
  std::size_t SameDataCenter = 4;
  std::size_t PerOtherDataCenter = 1;
};

/// Picks the peers that \p Self sends periodic messages to: its successors on
/// a hash ring within its data centre, and others by rendezvous. Leaving VMs
/// are passed over.
std::vector<vm_name> chooseNeighbours(const vm_name &Self,
                                      const data_center_name &DataCenter,
                                      std::span<const member> Members,
                                      const neighbour_options &Options);

} // namespace peridot
