#include "coordination/ownership/shard_choice.h"

#include <algorithm>
#include <set>
#include <string>

#include "state/base/hashing.h"

namespace peridot {

namespace {

bool isEligible(const member &Member) {
  return !Member.Leaving && !Member.Suspected;
}

bool contains(std::span<const vm_name> Names, const vm_name &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

std::vector<const member *>
rankedCandidates(const vm_name &Self, std::span<const member> Members,
                 std::span<const vm_name> Excluded) {
  std::vector<const member *> Ranked;
  for (const member &Member : Members)
    if (isEligible(Member) && Member.Vm != Self &&
        !contains(Excluded, Member.Vm))
      Ranked.push_back(&Member);
  std::ranges::sort(Ranked, std::greater<>(), [&](const member *Member) {
    return rendezvousWeight(Self.view(), Member->Vm.view());
  });
  return Ranked;
}

} // namespace

std::optional<vm_name> chooseOwner(shard_number Shard,
                                   std::span<const member> Members,
                                   const vm_name &Excluded) {
  const std::string Subject = "shard-" + std::to_string(Shard.Value);
  const member *Best = nullptr;
  std::uint64_t BestWeight = 0;
  for (const member &Member : Members) {
    if (!isEligible(Member) || Member.Vm == Excluded)
      continue;
    const std::uint64_t Weight = rendezvousWeight(Subject, Member.Vm.view());
    if (!Best || Weight > BestWeight) {
      Best = &Member;
      BestWeight = Weight;
    }
  }
  if (!Best)
    return std::nullopt;
  return Best->Vm;
}

std::vector<vm_name> chooseWitnesses(const vm_name &Self,
                                     std::span<const member> Members,
                                     std::span<const vm_name> Retained,
                                     std::span<const vm_name> Excluded,
                                     std::size_t Count) {
  std::vector<vm_name> Chosen(Retained.begin(), Retained.end());
  std::set<data_center_name> Used;
  for (const member &Member : Members)
    if (contains(Retained, Member.Vm))
      Used.insert(Member.DataCenter);
  const auto Ranked = rankedCandidates(Self, Members, Excluded);
  for (const member *Member : Ranked)
    if (Chosen.size() < Count && !contains(Chosen, Member->Vm) &&
        Used.insert(Member->DataCenter).second)
      Chosen.push_back(Member->Vm);
  for (const member *Member : Ranked)
    if (Chosen.size() < Count && !contains(Chosen, Member->Vm))
      Chosen.push_back(Member->Vm);
  return Chosen;
}

} // namespace peridot
