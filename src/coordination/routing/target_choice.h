/// \file
/// Selects the target for a request.
#pragma once

#include <cstdint>
#include <limits>
#include <span>

#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// The state of a target on one traffic thread when a target is chosen.
struct target_candidate {
  const target *Target = nullptr;
  unsigned Outstanding = 0; ///< Requests of this VM that are in progress there.
  unsigned ConnectionLimit = std::numeric_limits<unsigned>::max();
  bool IsInSameDataCenter = false;
  /// Whether this request was already tried at the target. If so, the target is
  /// not chosen again.
  bool HasBeenTried = false;
};

/// One in this many repeatable requests goes to a target on trial.
inline constexpr std::uint64_t TrialInterval = 32;

/// Picks two different serving candidates at random and returns the less loaded
/// one. With equal load, a candidate in the same data centre is preferred.
/// Returns nullptr if no candidate can be used.
/// \param Random uniformly distributed bits.
/// \param MayUseTrialTarget whether the request is repeatable; one in
///        TrialInterval such requests goes to a target on trial.
const target *chooseTarget(const routing_snapshot &Snapshot,
                           std::span<const target_candidate> Candidates,
                           std::uint64_t Random,
                           bool MayUseTrialTarget = false);

} // namespace peridot
