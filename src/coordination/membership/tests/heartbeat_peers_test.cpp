#include "coordination/membership/heartbeat_peers.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct heartbeat_peers_fixture {
  std::vector<member> Members;

  heartbeat_peers_fixture() {
    for (int Index = 0; Index < 30; ++Index)
      Members.push_back(
          {.Vm = vm_name("vm-" + std::to_string(Index)),
           .DataCenter = data_center_name(Index % 3 == 0   ? "a"
                                          : Index % 3 == 1 ? "b"
                                                           : "c")});
  }
};

} // namespace

TEST_CASE_FIXTURE(heartbeat_peers_fixture,
                  "chooseHeartbeatPeers_thirtyVms_choosesSix") {
  const auto Chosen =
      chooseHeartbeatPeers(vm_name("vm-0"), data_center_name("a"), Members, {});
  CHECK(Chosen.size() == 6);
  CHECK(std::ranges::find(Chosen, vm_name("vm-0")) == Chosen.end());
}

TEST_CASE_FIXTURE(heartbeat_peers_fixture,
                  "chooseHeartbeatPeers_leavingVm_notChosen") {
  const auto Before =
      chooseHeartbeatPeers(vm_name("vm-0"), data_center_name("a"), Members, {});
  for (member &Member : Members)
    Member.Leaving = Member.Vm == Before[0];
  const auto After =
      chooseHeartbeatPeers(vm_name("vm-0"), data_center_name("a"), Members, {});
  CHECK(std::ranges::find(After, Before[0]) == After.end());
}
