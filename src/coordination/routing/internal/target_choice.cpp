#include "coordination/routing/target_choice.h"

#include <algorithm>

namespace peridot {

namespace {

bool isUsable(const routing_snapshot &Snapshot,
              const target_candidate &Candidate) {
  return !Candidate.AlreadyTried &&
         Candidate.Outstanding < Candidate.Target->Slots &&
         Candidate.Outstanding < Candidate.ConnectionLimit &&
         Snapshot.conditionOf(Candidate.Target->Name) ==
             target_condition::Serving;
}

const target_candidate *lessLoaded(const target_candidate *Left,
                                   const target_candidate *Right) {
  if (Left->Outstanding != Right->Outstanding)
    return Left->Outstanding < Right->Outstanding ? Left : Right;
  return Right->SameDataCenter && !Left->SameDataCenter ? Right : Left;
}

/// The usable candidate with \p Index usable ones before it.
const target_candidate &usableAt(const routing_snapshot &Snapshot,
                                 std::span<const target_candidate> Candidates,
                                 std::size_t Index) {
  std::size_t At = 0;
  while (!isUsable(Snapshot, Candidates[At]) || Index-- > 0)
    ++At;
  return Candidates[At];
}

} // namespace

const target *chooseTarget(const routing_snapshot &Snapshot,
                           std::span<const target_candidate> Candidates,
                           std::uint64_t Random) {
  const auto Usable = static_cast<std::size_t>(
      std::ranges::count_if(Candidates, [&](const target_candidate &Each) {
        return isUsable(Snapshot, Each);
      }));
  if (Usable == 0)
    return nullptr;
  const std::size_t First = (Random & 0xFFFFFFFFU) % Usable;
  if (Usable == 1)
    return usableAt(Snapshot, Candidates, First).Target;
  // A step of 1 to Usable - 1 leads to a different one.
  const std::size_t Step = 1 + (Random >> 32U) % (Usable - 1);
  return lessLoaded(&usableAt(Snapshot, Candidates, First),
                    &usableAt(Snapshot, Candidates, (First + Step) % Usable))
      ->Target;
}

} // namespace peridot
