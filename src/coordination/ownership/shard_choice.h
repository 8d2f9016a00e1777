/// \file
/// Which VM should own a shard and which ones should witness a lease.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "state/ownership/types/shard_map.h"

namespace peridot {

/// The member that should own \p Shard, by rendezvous hashing over those that
/// are neither leaving nor suspected; \p Except is passed over.
std::optional<vm_name> chooseOwner(shard_number Shard,
                                   std::span<const member> Members,
                                   const vm_name &Except);

/// Candidates for witnesses of \p Self: \p Kept, filled up to \p Count with
/// members of data centres not used yet, then with any. Those in \p Avoided,
/// leaving or suspected are passed over.
std::vector<vm_name> chooseWitnesses(const vm_name &Self,
                                     std::span<const member> Members,
                                     std::span<const vm_name> Kept,
                                     std::span<const vm_name> Avoided,
                                     std::size_t Count);

} // namespace peridot
