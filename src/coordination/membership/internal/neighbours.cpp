#include "coordination/membership/neighbours.h"

#include <algorithm>
#include <map>

#include "state/base/hashing.h"

namespace peridot {

namespace {

struct ranked_member {
  std::uint64_t Rank = 0;
  vm_name Vm;

  auto operator<=>(const ranked_member &) const = default;
};

/// Position of a VM on the hash ring of its data centre.
std::uint64_t ringPosition(const vm_name &Vm) {
  return rendezvousWeight("ring", Vm.view());
}

void appendFirst(std::vector<vm_name> &Out, std::vector<ranked_member> Ranked,
                 std::size_t Count) {
  std::ranges::sort(Ranked);
  Ranked.resize(std::min(Count, Ranked.size()));
  for (ranked_member &Each : Ranked)
    Out.push_back(std::move(Each.Vm));
}

} // namespace

std::vector<vm_name> chooseNeighbours(const vm_name &Self,
                                      const data_center_name &DataCenter,
                                      std::span<const member> Members,
                                      const neighbour_options &Options) {
  std::vector<ranked_member> Near;
  std::map<data_center_name, std::vector<ranked_member>> Far;
  for (const member &Member : Members) {
    if (Member.Vm == Self || Member.Leaving)
      continue;
    if (Member.DataCenter == DataCenter)
      Near.push_back({ringPosition(Member.Vm) - ringPosition(Self), Member.Vm});
    else
      Far[Member.DataCenter].push_back(
          {rendezvousWeight(Self.view(), Member.Vm.view()), Member.Vm});
  }
  std::vector<vm_name> Chosen;
  appendFirst(Chosen, std::move(Near), Options.SameDataCenter);
  for (auto &[Name, Ranked] : Far)
    appendFirst(Chosen, std::move(Ranked), Options.PerOtherDataCenter);
  return Chosen;
}

} // namespace peridot
