#include "coordination/routing/target_choice.h"

#include <vector>

namespace peridot {

namespace {

bool isUsable(const routing_snapshot &Snapshot,
              const target_candidate &Candidate) {
  return !Candidate.AlreadyTried &&
         Candidate.Outstanding < Candidate.Target->Slots &&
         Snapshot.conditionOf(Candidate.Target->Name) ==
             target_condition::Serving;
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
                           std::uint64_t Random) {
  std::vector<const target_candidate *> Usable;
  Usable.reserve(Candidates.size());
  for (const target_candidate &Candidate : Candidates)
    if (isUsable(Snapshot, Candidate))
      Usable.push_back(&Candidate);
  if (Usable.empty())
    return nullptr;
  const std::uint64_t Low = Random & 0xFFFFFFFFU;
  const std::uint64_t High = Random >> 32U;
  return lessLoaded(Usable[Low % Usable.size()], Usable[High % Usable.size()])
      ->Target;
}

} // namespace peridot
