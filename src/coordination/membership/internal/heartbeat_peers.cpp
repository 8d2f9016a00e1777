#include "coordination/membership/heartbeat_peers.h"

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

void appendLowestRanked(std::vector<vm_name> &Chosen,
                        std::vector<ranked_member> Ranked, std::size_t Count) {
  std::ranges::sort(Ranked);
  Ranked.resize(std::min(Count, Ranked.size()));
  for (ranked_member &Each : Ranked)
    Chosen.push_back(std::move(Each.Vm));
}

} // namespace

std::vector<vm_name>
chooseHeartbeatPeers(const vm_name &Self, const data_center_name &DataCenter,
                     std::span<const member> Members,
                     const heartbeat_peer_options &Options) {
  std::vector<ranked_member> LocalPeers;
  std::map<data_center_name, std::vector<ranked_member>> RemotePeers;
  for (const member &Member : Members) {
    if (Member.Vm == Self || Member.Leaving)
      continue;
    if (Member.DataCenter == DataCenter)
      LocalPeers.push_back(
          {ringPosition(Member.Vm) - ringPosition(Self), Member.Vm});
    else
      RemotePeers[Member.DataCenter].push_back(
          {rendezvousWeight(Self.view(), Member.Vm.view()), Member.Vm});
  }
  std::vector<vm_name> Chosen;
  appendLowestRanked(Chosen, std::move(LocalPeers),
                     Options.SameDataCenterCount);
  for (auto &[Name, Ranked] : RemotePeers)
    appendLowestRanked(Chosen, std::move(Ranked),
                       Options.PerOtherDataCenterCount);
  return Chosen;
}

} // namespace peridot
