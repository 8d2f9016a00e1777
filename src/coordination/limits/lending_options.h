/// \file
/// Terms under which parts of an account's limit are lent.
#pragma once

#include "coordination/limits/types/lending_messages.h"

namespace peridot {

/// The same on all VMs of a fleet.
struct lending_options {
  /// Part of rate and burst that home VMs hold in reserve.
  double ReserveFraction = 0.05;
  /// Term of a share of the main pool, from the borrower's request on.
  duration MainTerm = std::chrono::seconds(10);
  /// Term of a share of the reserve.
  duration ReserveTerm = std::chrono::hours(1);
  /// Largest difference between the rates of two VMs' clocks.
  double ClockDrift = 1e-3;
  std::size_t HomesPerDataCenter = 2;

  duration termOf(pool_kind Pool) const {
    return Pool == pool_kind::Main ? MainTerm : ReserveTerm;
  }
  /// How long an owner counts a share as held after it lent it: longer than
  /// the term on any clock.
  duration holdOf(pool_kind Pool) const {
    const auto Term = static_cast<double>(termOf(Pool).count());
    return duration(static_cast<duration::rep>(Term * (1 + 2 * ClockDrift)));
  }
};

/// Rate and burst of one pool.
struct pool_limit {
  double Rate = 0;
  double Burst = 0;

  bool operator==(const pool_limit &) const = default;
};

/// The part of an account's limit that a pool holds. Both pools together are
/// at most the limit, less the allowance for clock drift.
pool_limit poolLimit(const limited_account &Account, pool_kind Pool,
                     const lending_options &Options);

} // namespace peridot
