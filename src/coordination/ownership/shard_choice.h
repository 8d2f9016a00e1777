/// \file
/// Choice of the VM that owns a shard and of the VMs that witness a lease.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "state/ownership/types/shard_map.h"

namespace peridot {

/// Returns the member that should own \p Shard, by rendezvous hashing over the
/// members that are neither leaving nor suspected, without \p Excluded.
std::optional<vm_name> chooseOwner(shard_number Shard,
                                   std::span<const member> Members,
                                   const vm_name &Excluded);

/// Returns witness candidates for \p Self: \p Retained, filled up to \p Count
/// with members of data centres that have none yet, then with any members.
/// Members that are in \p Excluded, leaving or suspected are not added.
std::vector<vm_name> chooseWitnesses(const vm_name &Self,
                                     std::span<const member> Members,
                                     std::span<const vm_name> Retained,
                                     std::span<const vm_name> Excluded,
                                     std::size_t Count);

} // namespace peridot
