#include "coordination/rollout/watcher_choice.h"

#include <map>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct watcher_fixture {
  rollout_watcher_options Options;
  std::vector<member> Members;

  watcher_fixture() {
    for (int Index = 0; Index < 640; ++Index)
      Members.push_back(
          {.Vm = vm_name("vm-" + std::to_string(Index)),
           .DataCenter = data_center_name("dc-" + std::to_string(Index % 5))});
  }

  rollout_watcher_context of(const vm_name &Vm) const {
    for (const member &Member : Members)
      if (Member.Vm == Vm)
        return {Vm, Member.DataCenter, Members};
    return {};
  }

  std::size_t countWatchers(std::optional<duration> SinceReport) const {
    std::size_t Count = 0;
    for (const member &Member : Members)
      Count += shouldWatchPlatform(of(Member.Vm), SinceReport, Options) ? 1 : 0;
    return Count;
  }

  /// Returns the number of hops from \p Vm to a watcher.
  std::size_t hops(vm_name Vm) const {
    std::size_t Count = 0;
    while (!shouldWatchPlatform(of(Vm), 0s, Options)) {
      Vm = chooseUpstreamPeers(of(Vm), Options).front();
      ++Count;
    }
    return Count;
  }
};

} // namespace

TEST_CASE_FIXTURE(watcher_fixture,
                  "shouldWatchPlatform_recentReport_twoWatchersPerDataCenter") {
  CHECK(countWatchers(1s) == 10);
}

TEST_CASE_FIXTURE(watcher_fixture,
                  "shouldWatchPlatform_watchersSilent_nextInRankTakeOver") {
  CHECK(countWatchers(2001ms) == 15);
  CHECK(countWatchers(2251ms) == 20);
  CHECK(countWatchers(std::nullopt) == 640);
}

TEST_CASE_FIXTURE(watcher_fixture,
                  "chooseUpstreamPeers_640Vms_fewHopsAndRequesters") {
  std::map<vm_name, std::size_t> RequestersByPeer;
  for (const member &Member : Members) {
    CHECK(hops(Member.Vm) <= 2);
    for (const vm_name &Peer : chooseUpstreamPeers(of(Member.Vm), Options))
      ++RequestersByPeer[Peer];
  }
  for (const auto &[Vm, Count] : RequestersByPeer)
    CHECK(Count <= 13);
}

TEST_CASE_FIXTURE(watcher_fixture,
                  "chooseUpstreamPeers_watcher_onePeerPerDataCenter") {
  const vm_name Watcher =
      rankRolloutWatchers(data_center_name("dc-1"), Members).front();
  CHECK(chooseUpstreamPeers(of(Watcher), Options).size() == 5);
}
