#include <algorithm>

#include <doctest/doctest.h>

#include "state/ownership/types/shard_map.h"
#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

/// Three nodes in three data centres and four targets.
struct health_fixture : fleet_fixture {
  /// Number of requests that must all go to other targets before a target
  /// counts as unused. A target in use passes with a probability below
  /// 1 in 100,000.
  static constexpr int SampleRequests = 45;

  health_fixture() {
    for (const char *DataCenter : {"lakes-a", "lakes-b", "lakes-c"}) {
      addTarget("hive-" + std::to_string(Targets.size()), DataCenter);
      addNode("vm-" + std::to_string(Nodes.size()), DataCenter);
    }
    addTarget("hive-3", "lakes-a");
    updateVmList();
    writeServiceFile("hive", "ejection = \"fast\"\n"
                             "[[route]]\npath = \"/read\"\nrepeatable = true\n"
                             "[[route]]\npath = \"/write\"\n" +
                                 accountToml("keepers", "secret", 1e5, 1e5));
    publish("health test");
    awaitRevision(1);
    for (const auto &Node : Nodes)
      awaitReady(*Node);
    awaitCondition("owners of all shards", [this] {
      return countLogLines("shard-claimed") >= peridot::ShardCount;
    });
  }

  static client_response call(const running_node &Node,
                              const std::string &Path) {
    return httpCall(Node.CallerPort,
                    {.Path = Path, .Fields = {{"Peridot-Key", "secret"}}});
  }

  /// Whether SampleRequests requests all succeed at targets other than
  /// \p Target.
  static bool receivesNoRequests(const running_node &Node,
                                 const std::string &Target) {
    bool Reached = false;
    for (int Count = 0; Count < SampleRequests; ++Count) {
      const client_response Response = call(Node, "/write");
      const auto From = Response.Fields.find("x-target");
      Reached |= Response.Status != 200 || From == Response.Fields.end() ||
                 From->second == Target;
    }
    return !Reached;
  }

  void awaitNoRequests(const std::string &Target) {
    awaitAtAllNodes("no requests at " + Target, [&](const running_node &Node) {
      return receivesNoRequests(Node, Target);
    });
  }

  /// Evaluates the condition for all nodes until it holds for all of them in
  /// the same round.
  template <typename Callable>
  void awaitAtAllNodes(const std::string &What, Callable &&Condition) {
    awaitCondition(What, [&] {
      bool Holds = true;
      for (const auto &Node : Nodes)
        Holds &= Condition(*Node);
      return Holds;
    });
  }

  /// Number of log lines that contain \p Kind, without decisions that a node
  /// took for itself only.
  std::size_t countLogLines(const std::string &Kind) const {
    std::size_t Count = 0;
    for (const auto &Node : Nodes)
      for (const std::string &Line : Node->Process->lines())
        Count += Line.find(Kind) != std::string::npos &&
                         Line.find("for this VM only") == std::string::npos
                     ? 1
                     : 0;
    return Count;
  }

  /// Kills a node that has logged an ejection and removes it from the VM list.
  void killEjectingNode() {
    const auto EjectingNode = std::ranges::find_if(Nodes, [](const auto &Node) {
      return std::ranges::any_of(
          Node->Process->lines(), [](const std::string &Line) {
            return Line.find("target-ejected") != std::string::npos;
          });
    });
    REQUIRE(EjectingNode != Nodes.end());
    (*EjectingNode)->Process->signal(SIGKILL);
    (*EjectingNode)->Process->awaitExit();
    Nodes.erase(EjectingNode);
    updateVmList();
  }
};

} // namespace

TEST_CASE_FIXTURE(health_fixture, "fleet_grayTarget_ejectedThenReadmitted") {
  running_target &Gray = *Targets[1];
  Gray.setBehaviour("fail_percent=40");
  CHECK(httpCall(Gray.Port, {.Path = "/health"}).Status == 200);
  awaitNoRequests(Gray.Name);
  CHECK(countLogLines("target-ejected") > 0);
  Gray.setBehaviour("fail_percent=0");
  awaitAtAllNodes("readmission", [&](const running_node &Node) {
    for (int Count = 0; Count < SampleRequests; ++Count)
      call(Node, "/read");
    return !receivesNoRequests(Node, Gray.Name);
  });
  CHECK(countLogLines("target-readmitted") > 0);
}

TEST_CASE_FIXTURE(health_fixture,
                  "fleet_drainingTarget_noRequestsFromAnyNode") {
  running_target &Leaving = *Targets[2];
  Leaving.setBehaviour("draining=1");
  awaitNoRequests(Leaving.Name);
  awaitCondition("a drain decision for the fleet",
                 [this] { return countLogLines("target-draining") > 0; });
}

TEST_CASE_FIXTURE(health_fixture,
                  "fleet_ownerKilled_successorKeepsTargetEjected") {
  running_target &Gray = *Targets[1];
  Gray.setBehaviour("fail_percent=100");
  awaitNoRequests(Gray.Name);
  killEjectingNode();
  awaitAtAllNodes("an ejection by the successor",
                  [&](const running_node &Node) {
                    for (int Count = 0; Count < SampleRequests; ++Count)
                      call(Node, "/read");
                    return countLogLines("target-ejected") > 0;
                  });
  awaitNoRequests(Gray.Name);
}
