/// \file
/// The few VMs in each data centre at which an account's requests meet.
#pragma once

#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"

namespace peridot {

/// Picks an account's home VMs by rendezvous hashing, up to \p
/// CountPerDataCenter in each data centre. Leaving VMs are passed over. The
/// order is by data centre, then by rank; it does not depend on the order of \p
/// Members.
std::vector<vm_name> homeVms(const account_name &Account,
                             std::span<const member> Members,
                             std::size_t CountPerDataCenter);

} // namespace peridot
