/// \file
/// Which target gets the next request.
#pragma once

#include <cstdint>
#include <limits>
#include <span>

#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// A target as one traffic thread sees it at the moment of choice.
struct target_candidate {
  const target *Target = nullptr;
  unsigned Outstanding = 0; ///< Requests of this VM that run there now.
  unsigned ConnectionLimit = std::numeric_limits<unsigned>::max();
  bool SameDataCenter = false;
  bool AlreadyTried = false; ///< By this request; never chosen again.
};

/// One in this many repeatable requests goes to a target on trial.
inline constexpr std::uint64_t TrialInterval = 32;

/// Takes two different random serving candidates and returns the less loaded,
/// preferring the own data centre; nullptr when none may be used.
/// \param Random uniformly distributed bits.
/// \param MayTry true for a repeatable request, of which a trickle goes to
///        targets on trial.
const target *chooseTarget(const routing_snapshot &Snapshot,
                           std::span<const target_candidate> Candidates,
                           std::uint64_t Random, bool MayTry = false);

} // namespace peridot
