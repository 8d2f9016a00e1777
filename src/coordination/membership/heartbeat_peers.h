/// \file
/// Choice of the heartbeat peers: the sparse graph over which VMs exchange
/// periodic messages.
#pragma once

#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"

namespace peridot {

/// Number of heartbeat peers of a VM.
struct heartbeat_peer_options {
  std::size_t SameDataCenterCount = 4;
  std::size_t PerOtherDataCenterCount = 1;
};

/// Returns the peers that \p Self sends periodic messages to: its successors on
/// a hash ring in its own data centre, and peers in each other data centre by
/// rendezvous hashing. Leaving VMs are left out.
std::vector<vm_name>
chooseHeartbeatPeers(const vm_name &Self, const data_center_name &DataCenter,
                     std::span<const member> Members,
                     const heartbeat_peer_options &Options);

} // namespace peridot
