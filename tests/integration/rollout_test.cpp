#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

struct rollout_fixture : fleet_fixture {
  rollout_fixture() {
    addTarget("hive-1", "lakes-a");
    for (int Index = 0; Index < 5; ++Index)
      addNode("vm-" + std::to_string(Index + 1), "lakes-a");
    updateVmList();
    publishAndAwait("first", 1);
    awaitCondition("two watchers", [&] { return watchers().size() == 2; });
  }

  void publishAndAwait(const std::string &Reason, int Revision) {
    writeServiceFile("hive", "[[route]]\npath = \"/hive/" + Reason + "\"\n" +
                                 accountToml("keepers", "secret", 1e4, 1e4));
    CHECK(publish(Reason).ExitCode == 0);
    awaitRevision(Revision);
  }

  /// Names of the nodes that watch the platform for the others.
  std::vector<std::string> watchers() const {
    std::vector<std::string> Names;
    for (const auto &Node : Nodes)
      if (httpCall(Node->OperatorPort, {.Path = "/status"})
              .Body.find("\"feeds\":true") != std::string::npos)
        Names.push_back(Node->Name);
    return Names;
  }

  void killNode(const std::string &Name) {
    std::erase_if(Nodes, [&](const auto &Node) { return Node->Name == Name; });
  }
};

} // namespace

TEST_CASE_FIXTURE(rollout_fixture,
                  "publish_twoOfFiveVmsWatch_revisionAtAllNodes") {
  publishAndAwait("second", 2);
  CHECK(watchers().size() == 2);
  for (const auto &Node : Nodes)
    awaitReady(*Node);
}

TEST_CASE_FIXTURE(rollout_fixture, "watchers_killedButListed_othersTakeOver") {
  for (const std::string &Name : watchers())
    killNode(Name);
  publishAndAwait("second", 2);
  awaitCondition("a new watcher", [&] { return !watchers().empty(); });
  for (const auto &Node : Nodes)
    awaitReady(*Node);
}

TEST_CASE_FIXTURE(rollout_fixture, "nodes_platformDown_stayReady") {
  setPlatformFaults("down=1");
  awaitCondition("the outage in the status of vm-1", [&] {
    return httpCall(Nodes[0]->OperatorPort, {.Path = "/status"})
               .Body.find("\"freshness\":\"platform-away\"") !=
           std::string::npos;
  });
  for (const auto &Node : Nodes)
    awaitReady(*Node);
}
