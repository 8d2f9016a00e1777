#include "coordination/rollout/watcher_choice.h"

#include <algorithm>
#include <set>

#include "state/base/hashing.h"

namespace peridot {

namespace {

struct ranked_vm {
  std::uint64_t Weight = 0;
  vm_name Vm;

  auto operator<=>(const ranked_vm &) const = default;
};

std::size_t rankOf(const vm_name &Vm, std::span<const vm_name> Ranked) {
  const auto Found = std::ranges::find(Ranked, Vm);
  return static_cast<std::size_t>(Found - Ranked.begin());
}

std::set<data_center_name> dataCentersOf(std::span<const member> Members) {
  std::set<data_center_name> Names;
  for (const member &Member : Members)
    Names.insert(Member.DataCenter);
  return Names;
}

void appendWatchers(std::vector<vm_name> &Out,
                    const rollout_watcher_context &Context, std::size_t Rank,
                    const rollout_watcher_options &Options) {
  for (const data_center_name &DataCenter : dataCentersOf(Context.Members)) {
    const std::vector<vm_name> Ranked =
        rankRolloutWatchers(DataCenter, Context.Members);
    const std::size_t Watchers =
        std::min(Options.WatchersPerDataCenter, Ranked.size());
    if (Watchers == 0)
      continue;
    if (DataCenter != Context.DataCenter)
      Out.push_back(Ranked[Rank % Watchers]);
    else if (Watchers > 1)
      Out.push_back(Ranked[(Rank + 1) % Watchers]);
  }
}

} // namespace

std::vector<vm_name> rankRolloutWatchers(const data_center_name &DataCenter,
                                         std::span<const member> Members) {
  std::vector<ranked_vm> WeightedVms;
  // The seed text must be the same on all VMs, or their rankings differ.
  for (const member &Member : Members)
    if (Member.DataCenter == DataCenter && !Member.Leaving)
      WeightedVms.push_back(
          {rendezvousWeight("feeder", Member.Vm.view()), Member.Vm});
  std::ranges::sort(WeightedVms, std::greater());
  std::vector<vm_name> Ranked;
  Ranked.reserve(WeightedVms.size());
  for (ranked_vm &Each : WeightedVms)
    Ranked.push_back(std::move(Each.Vm));
  return Ranked;
}

bool shouldWatchPlatform(const rollout_watcher_context &Context,
                         std::optional<duration> SinceReport,
                         const rollout_watcher_options &Options) {
  const std::vector<vm_name> Ranked =
      rankRolloutWatchers(Context.DataCenter, Context.Members);
  const std::size_t Rank = rankOf(Context.Self, Ranked);
  if (Rank < Options.WatchersPerDataCenter || !SinceReport)
    return true;
  const std::size_t PlacesAfterWatchers = Rank - Options.WatchersPerDataCenter;
  return *SinceReport >
         Options.SilenceLimit +
             Options.RankDelay * static_cast<int>(PlacesAfterWatchers);
}

std::vector<vm_name>
chooseUpstreamPeers(const rollout_watcher_context &Context,
                    const rollout_watcher_options &Options) {
  const std::vector<vm_name> Ranked =
      rankRolloutWatchers(Context.DataCenter, Context.Members);
  const std::size_t Rank = rankOf(Context.Self, Ranked);
  std::vector<vm_name> Chosen;
  if (Rank < Options.WatchersPerDataCenter || Rank == Ranked.size()) {
    appendWatchers(Chosen, Context, Rank, Options);
    return Chosen;
  }
  Chosen.push_back(
      Ranked[(Rank - Options.WatchersPerDataCenter) / Options.FanOut]);
  return Chosen;
}

} // namespace peridot
