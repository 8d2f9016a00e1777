/// \file
/// Choice of the few VMs in each data centre on which an account's requests are
/// concentrated.
#pragma once

#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"

namespace peridot {

/// Returns an account's preferred VMs by rendezvous hashing: up to \p
/// CountPerDataCenter in each data centre, without leaving VMs. They are
/// ordered by data centre, then by rank, regardless of the order of \p Members.
std::vector<vm_name> preferredVms(const account_name &Account,
                                  std::span<const member> Members,
                                  std::size_t CountPerDataCenter);

} // namespace peridot
