#include "coordination/ownership/witness_recruiting.h"

#include <algorithm>

#include "coordination/ownership/shard_choice.h"

namespace peridot {

namespace {

/// A silent candidate is tried again after this many lease lengths.
constexpr int RetrySilentAfter = 10;

bool isUsable(const vm_name &Vm, std::span<const member> Members) {
  const auto Found = std::ranges::find(Members, Vm, &member::Vm);
  return Found != Members.end() && !Found->Leaving;
}

} // namespace

bool witness_recruiting::isSilent(const candidate &Candidate,
                                  instant Now) const {
  return Now - std::max(Candidate.AskedSince, Candidate.LastAnswer) >
         Options.Length;
}

std::vector<vm_name> witness_recruiting::avoided(instant Now) const {
  std::vector<vm_name> Avoided;
  for (const auto &[Vm, Candidate] : Candidates) {
    const bool Refused =
        Candidate.Incarnation.Value != 0 && !Candidate.Confirmed;
    if (Refused || isSilent(Candidate, Now))
      Avoided.push_back(Vm);
  }
  return Avoided;
}

bool witness_recruiting::isFailing(const vm_incarnation &Witness,
                                   std::span<const member> Members,
                                   const owner_lease &Lease,
                                   instant Now) const {
  if (Lease.hasRefused(Witness) || !isUsable(Witness.Vm, Members))
    return true;
  const auto Known = Candidates.find(Witness.Vm);
  if (Known == Candidates.end())
    return false;
  return Known->second.Incarnation > Witness.Incarnation ||
         isSilent(Known->second, Now);
}

std::vector<vm_name>
witness_recruiting::choose(std::span<const vm_incarnation> Recorded,
                           std::span<const member> Members,
                           const owner_lease &Lease, instant Now) {
  std::erase_if(Candidates, [&](const auto &Entry) {
    const candidate &Candidate = Entry.second;
    return Now - std::max(Candidate.AskedSince, Candidate.LastAnswer) >
           RetrySilentAfter * Options.Length;
  });
  std::vector<vm_name> Kept;
  for (const vm_incarnation &Witness : Recorded)
    if (!isFailing(Witness, Members, Lease, Now))
      Kept.push_back(Witness.Vm);
  std::vector<vm_name> Chosen =
      chooseWitnesses(Self, Members, Kept, avoided(Now), WitnessCount);
  for (const vm_incarnation &Witness : Recorded)
    if (std::ranges::find(Chosen, Witness.Vm) == Chosen.end())
      Chosen.push_back(Witness.Vm);
  for (const vm_name &Vm : Chosen)
    Candidates.try_emplace(Vm, candidate{.AskedSince = Now});
  return Chosen;
}

void witness_recruiting::answered(const vm_incarnation &Witness, bool Confirmed,
                                  instant Now) {
  candidate &Candidate = Candidates[Witness.Vm];
  if (Witness.Incarnation < Candidate.Incarnation)
    return;
  Candidate.Incarnation = Witness.Incarnation;
  Candidate.Confirmed = Confirmed;
  Candidate.LastAnswer = Now;
}

witness_set
witness_recruiting::proposal(std::span<const vm_incarnation> Recorded,
                             std::span<const member> Members,
                             const owner_lease &Lease, instant Now) const {
  witness_set Proposed;
  std::vector<vm_name> Kept;
  for (const vm_incarnation &Witness : Recorded) {
    if (isFailing(Witness, Members, Lease, Now))
      continue;
    Proposed.push_back(Witness);
    Kept.push_back(Witness.Vm);
  }
  for (const vm_name &Vm :
       chooseWitnesses(Self, Members, Kept, avoided(Now), WitnessCount)) {
    if (std::ranges::find(Kept, Vm) != Kept.end())
      continue;
    const auto Known = Candidates.find(Vm);
    if (Known != Candidates.end() && Known->second.Confirmed)
      Proposed.push_back({Vm, Known->second.Incarnation});
  }
  return Proposed;
}

} // namespace peridot
