#include <algorithm>

#include <doctest/doctest.h>

#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

const store_account Keepers{.Name = "keepers",
                            .Keys = {"keeper-key"},
                            .RequestsPerSecond = 200,
                            .Burst = 200};

/// Four nodes of one data centre before two targets.
struct store_plane_fixture : store_fleet {
  store_plane_fixture() {
    writeConfiguration(1, {Keepers});
    addTarget("hive-1", "lakes-a");
    addTarget("hive-2", "lakes-a");
    for (const char *Name : {"vm-1", "vm-2", "vm-3", "vm-4"})
      addNode(Name, "lakes-a");
    for (const auto &Node : Nodes)
      awaitReady(*Node);
  }

  unsigned call(std::size_t Node, const std::string &Path = "/logs/1") {
    return keyedCall(Nodes[Node]->Node.CallerPort, Path, "keeper-key",
                     "r" + std::to_string(++LastId), "hive")
        .Status;
  }

  void awaitStatus(std::size_t Node, const std::string &Path, unsigned Wanted) {
    awaitCondition(Path + " at node " + std::to_string(Node),
                   [&] { return call(Node, Path) == Wanted; });
  }

  /// Whether a node watches the store itself, by its log.
  static bool reads(const store_node &Each) {
    bool Reads = true;
    for (const std::string &Line : Each.Node.Process->lines())
      if (Line.find("\"store-reading\"") != Line.npos)
        Reads = Line.find("\"reads\":true") != Line.npos;
    return Reads;
  }

  /// Waits until two nodes watch the store and the others do not.
  void awaitReaders() const {
    awaitCondition("two readers", [&] {
      int Followers = 0;
      for (const auto &Each : Nodes)
        Followers += reads(*Each) ? 0 : 1;
      return Followers == 2;
    });
  }

  int LastId = 0;
};

} // namespace

TEST_CASE_FIXTURE(store_plane_fixture, "nodes_keyedRequest_servedByAll") {
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    CHECK(call(Node) == 200);
  CHECK(call(0, "/elsewhere/") == 404);
}

TEST_CASE_FIXTURE(store_plane_fixture, "nodes_storeAway_onlyReadersLookOften") {
  awaitReaders();
  faults("down=1");
  for (const auto &Each : Nodes)
    Each->Node.Process->awaitLine("\"store-lost\"");
  std::this_thread::sleep_for(1500ms);
  const int Before = calls();
  std::this_thread::sleep_for(2s);
  // Two readers look each 400 ms, the others each 600 and 800 ms.
  CHECK(calls() - Before <= 5 + 5 + 4 + 3 + 4);
  faults("down=0");
  for (const auto &Each : Nodes)
    awaitCondition("the store is back", [&] {
      const auto Lines = Each->Node.Process->lines();
      return std::ranges::count_if(Lines, [](const std::string &Line) {
               return Line.find("\"store-regained\"") != Line.npos;
             }) >= 2;
    });
}

TEST_CASE_FIXTURE(store_plane_fixture, "node_stoodStill_saysForHowLong") {
  Nodes[0]->Node.Process->signal(SIGSTOP);
  std::this_thread::sleep_for(1s);
  Nodes[0]->Node.Process->signal(SIGCONT);
  const std::string Line = Nodes[0]->Node.Process->awaitLine("\"stood-still\"");
  CHECK(jsonInteger(Line, "for_ms") >= 500);
}

TEST_CASE_FIXTURE(store_plane_fixture,
                  "nodes_firstAnswers_neverWithoutTargets") {
  for (const auto &Node : Nodes) {
    Node->Node.Process->signal(SIGKILL);
    Node->Node.Process->awaitExit();
  }
  faults("delay_ms=60");
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node) {
    restart(*Nodes[Node]);
    CHECK(call(Node) == 200);
  }
}

TEST_CASE_FIXTURE(store_plane_fixture, "followers_change_inForceWithoutCalls") {
  awaitReaders();
  writeConfiguration(2, {Keepers}, "/more/");
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    awaitStatus(Node, "/more/1", 200);
  for (const auto &Each : Nodes)
    CHECK(
        jsonInteger(httpCall(Each->Node.OperatorPort, {.Path = "/status"}).Body,
                    "revision") == 2);
}

TEST_CASE_FIXTURE(store_plane_fixture,
                  "watches_deafDuringChange_inForceWithinTwoSeconds") {
  awaitReaders();
  faults("deaf=1");
  writeConfiguration(2, {Keepers}, "/more/");
  std::this_thread::sleep_for(2s);
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    CHECK(call(Node, "/more/1") == 200);
}

TEST_CASE_FIXTURE(store_plane_fixture,
                  "nodes_keyWithdrawn_refusedWithinTheLimit") {
  awaitReaders();
  store_account Without = Keepers;
  Without.Keys = {"another-key"};
  writeConfiguration(2, {Without});
  std::this_thread::sleep_for(2s);
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    CHECK(call(Node) == 401);
}

TEST_CASE_FIXTURE(store_plane_fixture,
                  "node_cutFromPlatform_confirmsThroughReaders") {
  awaitReaders();
  Nodes[3]->Way->setFaults("forward_cut=1&backward_cut=1");
  for (int Second = 0; Second < 6; ++Second) {
    CHECK(call(3) == 200);
    std::this_thread::sleep_for(1s);
  }
}

TEST_CASE_FIXTURE(store_plane_fixture,
                  "nodes_platformSilent_keysRefusedInTimeThenServed") {
  awaitReaders();
  faults("silent=1");
  std::this_thread::sleep_for(5s);
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    CHECK(call(Node) == 503);
  faults("");
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    awaitStatus(Node, "/logs/1", 200);
}

TEST_CASE_FIXTURE(store_plane_fixture, "targets_drainingOne_getsNoMoreWork") {
  awaitReaders();
  registerTarget(*Targets[0], "draining");
  std::this_thread::sleep_for(1s);
  const std::string Before = Targets[0]->Target.executions();
  for (std::size_t Count = 0; Count < 40; ++Count)
    CHECK(call(Count % Nodes.size()) == 200);
  CHECK(Targets[0]->Target.executions() == Before);
}

TEST_CASE_FIXTURE(store_plane_fixture,
                  "followers_readersCutSilently_drainingSeenInTime") {
  awaitReaders();
  std::vector<std::size_t> Followers;
  for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
    if (reads(*Nodes[Node]))
      Nodes[Node]->Way->setFaults("forward_cut=1&backward_cut=1");
    else
      Followers.push_back(Node);
  registerTarget(*Targets[0], "draining");
  std::this_thread::sleep_for(2s);
  const std::string Before = Targets[0]->Target.executions();
  for (int Count = 0; Count < 20; ++Count)
    for (const std::size_t Node : Followers)
      CHECK(call(Node) == 200);
  CHECK(Targets[0]->Target.executions() == Before);
}
