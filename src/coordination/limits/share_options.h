/// \file
/// Options of the allocation of shares of an account's limit.
#pragma once

#include "coordination/limits/types/share_messages.h"

namespace peridot {

/// Must be the same on all VMs of a fleet.
struct share_options {
  /// Fraction of an account's rate and burst that goes to the reserve holders.
  double ReserveFraction = 0.05;
  /// How long a share of the main pool is valid, from the holder's request on.
  duration MainValidity = std::chrono::seconds(10);
  /// How long a share of the reserve is valid, from the holder's request on.
  duration ReserveValidity = std::chrono::hours(1);
  /// Maximum relative difference between the clock rates of two VMs.
  double ClockDrift = 1e-3;
  /// Number of reserve holders of an account in each data centre.
  std::size_t ReserveHoldersPerDataCenter = 2;

  duration validityOf(pool_kind Pool) const {
    return Pool == pool_kind::Main ? MainValidity : ReserveValidity;
  }
  /// How long an owner counts a granted share as held: longer than the share
  /// is valid on any VM's clock.
  duration holdTimeOf(pool_kind Pool) const {
    const auto Validity = static_cast<double>(validityOf(Pool).count());
    return duration(
        static_cast<duration::rep>(Validity * (1 + 2 * ClockDrift)));
  }
};

/// Rate and burst of one pool.
struct pool_limit {
  double Rate = 0;
  double Burst = 0;

  bool operator==(const pool_limit &) const = default;
};

/// Returns the part of an account's limit that belongs to \p Pool. Both pools
/// together never exceed the limit less the allowance for clock drift.
pool_limit poolLimit(const limited_account &Account, pool_kind Pool,
                     const share_options &Options);

} // namespace peridot
