#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

struct rollout_fixture : fleet_fixture {
  rollout_fixture() {
    addTarget("hive-1", "lakes-a");
    for (int Index = 0; Index < 5; ++Index)
      addNode("vm-" + std::to_string(Index + 1), "lakes-a");
    listNodes();
    publishOnce("first", 1);
    awaitCondition("two feeders", [&] { return feeders().size() == 2; });
  }

  void publishOnce(const std::string &Reason, int Revision) {
    writeServiceFile("hive", "[[route]]\npath = \"/hive/" + Reason + "\"\n" +
                                 accountToml("keepers", "secret", 1e4, 1e4));
    CHECK(publish(Reason).ExitCode == 0);
    awaitRevision(Revision);
  }

  std::vector<std::string> feeders() const {
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

TEST_CASE_FIXTURE(rollout_fixture, "publish_twoOfFiveFeed_revisionEverywhere") {
  publishOnce("second", 2);
  CHECK(feeders().size() == 2);
  for (const auto &Node : Nodes)
    awaitReady(*Node);
}

TEST_CASE_FIXTURE(rollout_fixture, "feedersKilled_stillListed_nextTakeOver") {
  for (const std::string &Name : feeders())
    killNode(Name);
  publishOnce("second", 2);
  awaitCondition("a new feeder", [&] { return !feeders().empty(); });
  for (const auto &Node : Nodes)
    awaitReady(*Node);
}

TEST_CASE_FIXTURE(rollout_fixture, "platformAway_wholeDataCenter_staysReady") {
  platformFaults("down=1");
  awaitCondition("the outage is noticed", [&] {
    return httpCall(Nodes[0]->OperatorPort, {.Path = "/status"})
               .Body.find("\"freshness\":\"platform-away\"") !=
           std::string::npos;
  });
  for (const auto &Node : Nodes)
    awaitReady(*Node);
}
