/// \file
/// Durations of the lease protocol; the same on all VMs of a fleet.
#pragma once

#include "state/base/types/instant.h"

namespace peridot {

struct lease_options {
  /// How long one confirmation counts, from the moment the question was sent.
  duration Length = std::chrono::seconds(6);
  /// Taken off at the owner and added at the witness: clocks may drift by
  /// Margin / Length against each other.
  duration Margin = std::chrono::milliseconds(300);
  /// Time between two questions to the same witness.
  duration AskPeriod = std::chrono::seconds(2);
  /// Time between two questions of a successor about an owner.
  duration ProbePeriod = std::chrono::seconds(10);
  /// Shortest time between two writes that only exchange witnesses.
  duration RewritePeriod = std::chrono::seconds(5);
  /// How long a successor has to claim what was released to it.
  duration ReleaseLimit = std::chrono::seconds(10);
  /// Time between two looks at whether shards are spread evenly.
  duration RebalancePeriod = std::chrono::seconds(10);
  /// Random wait before a write is tried again; doubled by each failure.
  duration RetrySpread = std::chrono::milliseconds(100);
  duration MaxRetrySpread = std::chrono::seconds(5);

  /// How long a witness keeps a promise on its own clock.
  duration promise() const { return Length + Margin; }
  /// How long an owner counts a confirmation on its own clock.
  duration validity() const { return Length - Margin; }
};

/// Witnesses of one owner, when the fleet has that many other VMs.
inline constexpr std::size_t WitnessCount = 3;

/// Confirmations that a lease needs out of \p Witnesses.
constexpr std::size_t leaseQuorum(std::size_t Witnesses) {
  return Witnesses == 0 ? 0 : Witnesses / 2 + 1;
}

/// Witnesses that must refuse before no quorum can form.
constexpr std::size_t blockingCount(std::size_t Witnesses) {
  return Witnesses - leaseQuorum(Witnesses) + 1;
}

} // namespace peridot
