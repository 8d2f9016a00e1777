/// \file
/// Durations of the lease protocol. All VMs of a fleet must use the same
/// values.
#pragma once

#include "state/base/types/instant.h"

namespace peridot {

struct lease_options {
  /// Length of a lease, counted from the sending of the confirmed request.
  duration Length = std::chrono::seconds(6);
  /// Subtracted at the owner and added at the witness, so that clocks may drift
  /// against each other by Margin / Length.
  duration Margin = std::chrono::milliseconds(300);
  /// Interval between two confirmation requests to the same witness.
  duration RequestPeriod = std::chrono::seconds(2);
  /// Interval between two lapse requests of a successor about an owner.
  duration ProbePeriod = std::chrono::seconds(10);
  /// Minimum interval between two writes that only replace witnesses.
  duration WitnessRewriteInterval = std::chrono::seconds(5);
  /// Time in which a successor must claim the shards released to it. After it
  /// the releasing VM may claim them again.
  duration ReleaseTimeout = std::chrono::seconds(10);
  /// Interval between two checks for an uneven distribution of shards.
  duration RebalancePeriod = std::chrono::seconds(10);
  /// Upper bound of the random wait before a write is retried. It starts at the
  /// initial value and doubles with each failure.
  duration InitialRetryBackoff = std::chrono::milliseconds(100);
  duration MaxRetryBackoff = std::chrono::seconds(5);

  /// How long a witness keeps a promise, measured by its own clock.
  duration promiseLength() const { return Length + Margin; }
  /// How long a confirmation is valid for the owner, measured by its own clock.
  duration validityLength() const { return Length - Margin; }
};

/// Number of witnesses of one owner, if the fleet has that many other VMs.
inline constexpr std::size_t WitnessCount = 3;

/// Number of confirmations out of \p Witnesses that a lease needs.
constexpr std::size_t leaseQuorum(std::size_t Witnesses) {
  return Witnesses == 0 ? 0 : Witnesses / 2 + 1;
}

/// Number of refusals out of \p Witnesses after which no quorum can form.
constexpr std::size_t blockingCount(std::size_t Witnesses) {
  return Witnesses - leaseQuorum(Witnesses) + 1;
}

} // namespace peridot
