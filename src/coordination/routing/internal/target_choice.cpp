#include "coordination/routing/target_choice.h"

#include <algorithm>

namespace peridot {

namespace {

bool isUsable(const routing_snapshot &Snapshot,
              const target_candidate &Candidate, target_condition Condition) {
  return !Candidate.HasBeenTried &&
         Candidate.Outstanding < Candidate.Target->Slots &&
         Candidate.Outstanding < Candidate.ConnectionLimit &&
         Snapshot.conditionOf(Candidate.Target->Name) == Condition;
}

/// Mixes the bits to avoid a correlation with later uses of \p Random.
bool isTrialTurn(std::uint64_t Random) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15U;
  return ((Random * Multiplier) >> 32U) % TrialInterval == 0;
}

const target_candidate *lessLoaded(const target_candidate *Left,
                                   const target_candidate *Right) {
  if (Left->Outstanding != Right->Outstanding)
    return Left->Outstanding < Right->Outstanding ? Left : Right;
  return Right->IsInSameDataCenter && !Left->IsInSameDataCenter ? Right : Left;
}

/// Returns the usable candidate at \p Index, counting only usable candidates.
const target_candidate &usableAt(const routing_snapshot &Snapshot,
                                 std::span<const target_candidate> Candidates,
                                 std::size_t Index) {
  std::size_t At = 0;
  while (!isUsable(Snapshot, Candidates[At], target_condition::Serving) ||
         Index-- > 0)
    ++At;
  return Candidates[At];
}

} // namespace

const target *chooseTarget(const routing_snapshot &Snapshot,
                           std::span<const target_candidate> Candidates,
                           std::uint64_t Random, bool MayUseTrialTarget) {
  if (MayUseTrialTarget && isTrialTurn(Random))
    for (const target_candidate &Candidate : Candidates)
      if (isUsable(Snapshot, Candidate, target_condition::Trial))
        return Candidate.Target;
  const auto Usable = static_cast<std::size_t>(
      std::ranges::count_if(Candidates, [&](const target_candidate &Each) {
        return isUsable(Snapshot, Each, target_condition::Serving);
      }));
  if (Usable == 0)
    return nullptr;
  const std::size_t First = (Random & 0xFFFFFFFFU) % Usable;
  if (Usable == 1)
    return usableAt(Snapshot, Candidates, First).Target;
  // A step of 1 to Usable - 1 always selects a different candidate.
  const std::size_t Step = 1 + (Random >> 32U) % (Usable - 1);
  return lessLoaded(&usableAt(Snapshot, Candidates, First),
                    &usableAt(Snapshot, Candidates, (First + Step) % Usable))
      ->Target;
}

} // namespace peridot
