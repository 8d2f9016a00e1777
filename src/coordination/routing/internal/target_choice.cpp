#include "coordination/routing/target_choice.h"

#include <vector>

namespace peridot {

namespace {

bool isUsable(const routing_snapshot &Snapshot,
              const target_candidate &Candidate, target_condition Condition) {
  return !Candidate.AlreadyTried &&
         Candidate.Outstanding < Candidate.Target->Slots &&
         Snapshot.conditionOf(Candidate.Target->Name) == Condition;
}

/// Mixes the bits, so that they do not correlate with later uses of \p Random.
bool isTrialTurn(std::uint64_t Random) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15U;
  return ((Random * Multiplier) >> 32U) % TrialInterval == 0;
}

const target_candidate *lessLoaded(const target_candidate *Left,
                                   const target_candidate *Right) {
  if (Left->Outstanding != Right->Outstanding)
    return Left->Outstanding < Right->Outstanding ? Left : Right;
  return Right->SameDataCenter && !Left->SameDataCenter ? Right : Left;
}

} // namespace

const target *chooseTarget(const routing_snapshot &Snapshot,
                           std::span<const target_candidate> Candidates,
                           std::uint64_t Random, bool MayTry) {
  if (MayTry && isTrialTurn(Random))
    for (const target_candidate &Candidate : Candidates)
      if (isUsable(Snapshot, Candidate, target_condition::Trial))
        return Candidate.Target;
  std::vector<const target_candidate *> Usable;
  Usable.reserve(Candidates.size());
  for (const target_candidate &Candidate : Candidates)
    if (isUsable(Snapshot, Candidate, target_condition::Serving))
      Usable.push_back(&Candidate);
  if (Usable.empty())
    return nullptr;
  const std::uint64_t Low = Random & 0xFFFFFFFFU;
  const std::uint64_t High = Random >> 32U;
  return lessLoaded(Usable[Low % Usable.size()], Usable[High % Usable.size()])
      ->Target;
}

} // namespace peridot
