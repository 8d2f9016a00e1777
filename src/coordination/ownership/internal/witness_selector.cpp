#include "coordination/ownership/witness_selector.h"

#include <algorithm>

#include "coordination/ownership/shard_choice.h"

namespace peridot {

namespace {

/// Number of lease lengths after which a silent candidate is tried again.
constexpr int SilentRetryLeaseLengths = 10;

bool isListedAndStaying(const vm_name &Vm, std::span<const member> Members) {
  const auto Found = std::ranges::find(Members, Vm, &member::Vm);
  return Found != Members.end() && !Found->Leaving;
}

} // namespace

bool witness_selector::isSilent(const candidate &Candidate, instant Now) const {
  return Now - std::max(Candidate.RequestedSince, Candidate.LastResponseAt) >
         Options.Length;
}

std::vector<vm_name> witness_selector::excludedVms(instant Now) const {
  std::vector<vm_name> Excluded;
  for (const auto &[Vm, Candidate] : Candidates) {
    const bool HasRefused =
        Candidate.Incarnation.Value != 0 && !Candidate.HasConfirmed;
    if (HasRefused || isSilent(Candidate, Now))
      Excluded.push_back(Vm);
  }
  return Excluded;
}

bool witness_selector::needsReplacement(const vm_incarnation &Witness,
                                        std::span<const member> Members,
                                        const owner_lease &Lease,
                                        instant Now) const {
  if (Lease.hasRefused(Witness) || !isListedAndStaying(Witness.Vm, Members))
    return true;
  const auto Known = Candidates.find(Witness.Vm);
  if (Known == Candidates.end())
    return false;
  return Known->second.Incarnation > Witness.Incarnation ||
         isSilent(Known->second, Now);
}

std::vector<vm_name>
witness_selector::choosePeers(std::span<const vm_incarnation> Recorded,
                              std::span<const member> Members,
                              const owner_lease &Lease, instant Now) {
  std::erase_if(Candidates, [&](const auto &Entry) {
    const candidate &Candidate = Entry.second;
    return Now - std::max(Candidate.RequestedSince, Candidate.LastResponseAt) >
           SilentRetryLeaseLengths * Options.Length;
  });
  std::vector<vm_name> Retained;
  for (const vm_incarnation &Witness : Recorded)
    if (!needsReplacement(Witness, Members, Lease, Now))
      Retained.push_back(Witness.Vm);
  std::vector<vm_name> Chosen =
      chooseWitnesses(Self, Members, Retained, excludedVms(Now), WitnessCount);
  for (const vm_incarnation &Witness : Recorded)
    if (std::ranges::find(Chosen, Witness.Vm) == Chosen.end())
      Chosen.push_back(Witness.Vm);
  for (const vm_name &Vm : Chosen)
    Candidates.try_emplace(Vm, candidate{.RequestedSince = Now});
  return Chosen;
}

void witness_selector::recordResponse(const vm_incarnation &Witness,
                                      bool HasConfirmed, instant Now) {
  candidate &Candidate = Candidates[Witness.Vm];
  if (Witness.Incarnation < Candidate.Incarnation)
    return;
  Candidate.Incarnation = Witness.Incarnation;
  Candidate.HasConfirmed = HasConfirmed;
  Candidate.LastResponseAt = Now;
}

witness_set witness_selector::proposeWitnesses(
    std::span<const vm_incarnation> Recorded, std::span<const member> Members,
    const owner_lease &Lease, instant Now) const {
  witness_set Proposed;
  std::vector<vm_name> Retained;
  for (const vm_incarnation &Witness : Recorded) {
    if (needsReplacement(Witness, Members, Lease, Now))
      continue;
    Proposed.push_back(Witness);
    Retained.push_back(Witness.Vm);
  }
  for (const vm_name &Vm : chooseWitnesses(Self, Members, Retained,
                                           excludedVms(Now), WitnessCount)) {
    if (std::ranges::find(Retained, Vm) != Retained.end())
      continue;
    const auto Known = Candidates.find(Vm);
    if (Known != Candidates.end() && Known->second.HasConfirmed)
      Proposed.push_back({Vm, Known->second.Incarnation});
  }
  return Proposed;
}

} // namespace peridot
