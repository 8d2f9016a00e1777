/// \file
/// Selects the VMs that a caller should use, in order of preference.
///
/// All callers of an account are directed to its preferred VMs, a few VMs in
/// each data centre. This keeps the limits, connections and queues of an
/// account on few VMs, so that one account cannot affect all VMs.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

struct address_options {
  /// Rate that one preferred VM in each data centre covers. An account's rate
  /// limit divided by it gives the number of its preferred VMs in each data
  /// centre, within the two bounds below.
  double RequestsPerSecondPerPreferredVm = 100;
  std::size_t MinPreferredVms = 2;  ///< In each data centre.
  std::size_t MaxPreferredVms = 16; ///< In each data centre.
  /// Number of VMs listed after the preferred VMs as a fallback if no preferred
  /// VM is reachable.
  std::size_t Spares = 4;
  /// Maximum number of VMs returned to a caller without a known key.
  std::size_t MaxVmsWithoutKey = 16;
};

/// Returns the number of preferred VMs of an account in each data centre. It
/// grows with the account's rate limit.
std::size_t preferredVmsPerDataCenter(const rate_limit &Limit,
                                      const address_options &Options);

/// A caller's request for addresses.
struct address_request {
  const client_account *Account = nullptr; ///< Null: no known key.
  data_center_name NearestDataCenter; ///< Data centre of the VM that responds.
  /// Uniformly distributed bits, which spread callers over equally good VMs.
  std::uint64_t Random = 0;
};

/// Returns the account's preferred VMs, followed by spare VMs. In both groups
/// the VMs of the nearest data centre come first. Suspected VMs come after all
/// others.
std::vector<vm_address> orderAddresses(std::span<const vm_address> Vms,
                                       const address_request &Request,
                                       const address_options &Options);

} // namespace peridot
