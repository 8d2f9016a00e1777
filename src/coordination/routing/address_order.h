/// \file
/// Which VMs a caller is told to use, in preferred order.
///
/// An account's callers meet at its few home VMs, so that limits, connections
/// and queues of an account stay on few VMs and one account cannot reach all.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

struct address_options {
  /// Rate that one home in each data centre carries, in requests per second.
  double RatePerHome = 100;
  std::size_t LeastHomes = 2; ///< In each data centre.
  std::size_t MostHomes = 16;
  /// VMs named after the homes, for when these are all out of reach.
  std::size_t Spares = 4;
  /// VMs named to a caller without a known key.
  std::size_t GeneralLimit = 16;
};

/// Home VMs that an account has in each data centre; grows with its rate.
std::size_t homesPerDataCenter(const rate_limit &Limit,
                               const address_options &Options);

/// Who asks.
struct address_question {
  const client_account *Account = nullptr; ///< Null: no known key.
  data_center_name Nearest;                ///< Of the VM that was asked.
  /// Uniformly distributed bits; they spread callers over equal choices.
  std::uint64_t Random = 0;
};

/// Homes come first, those in the nearest data centre before others, then some
/// spares; suspected VMs come last.
std::vector<vm_address> orderAddresses(std::span<const vm_address> Vms,
                                       const address_question &Question,
                                       const address_options &Options);

} // namespace peridot
