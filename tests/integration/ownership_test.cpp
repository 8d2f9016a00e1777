#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

constexpr int AllShards = 256;

struct ownership_fixture : fleet_fixture {
  explicit ownership_fixture(int Count = 5) {
    const char *DataCenters[] = {"lakes-a", "lakes-b", "lakes-c"};
    for (int Index = 0; Index < Count; ++Index)
      addNode("vm-" + std::to_string(Index), DataCenters[Index % 3]);
    listNodes();
  }

  static int status(const running_node &Node, const std::string &Field) {
    const http_answer Answer = httpCall(Node.OperatorPort, {.Path = "/status"});
    return Answer.Status == 200 ? jsonInteger(Answer.Body, Field) : 0;
  }

  int acting(const running_node *Except = nullptr) const {
    int Total = 0;
    for (const auto &Node : Nodes)
      if (Node.get() != Except)
        Total += status(*Node, "shards_acting");
    return Total;
  }

  void awaitAllOwned(const running_node *Except = nullptr) const {
    awaitCondition("an owner for each shard",
                   [&] { return acting(Except) == AllShards; });
  }
};

} // namespace

TEST_CASE_FIXTURE(ownership_fixture, "fleet_started_eachShardHasOneOwner") {
  awaitAllOwned();
  for (const auto &Node : Nodes)
    CHECK(status(*Node, "shards_owned") > 0);
}

TEST_CASE_FIXTURE(ownership_fixture, "owner_killed_shardsTakenOver") {
  awaitAllOwned();
  Nodes[0]->Process->signal(SIGKILL);
  awaitAllOwned(Nodes[0].get());
}

TEST_CASE_FIXTURE(ownership_fixture, "owner_pausedPastLease_actsNoMore") {
  awaitAllOwned();
  running_node &Paused = *Nodes[0];
  Paused.Process->signal(SIGSTOP);
  awaitAllOwned(&Paused);
  Paused.Process->signal(SIGCONT);
  Paused.Process->awaitLine("\"lease-lost\"");
  awaitCondition("knowledge of the new owners",
                 [&] { return status(Paused, "shards_owned") == 0; });
  CHECK(status(Paused, "shards_acting") == 0);
}

TEST_CASE_FIXTURE(ownership_fixture, "owner_stopSignal_handsShardsOver") {
  awaitAllOwned();
  Nodes[0]->Process->signal(SIGTERM);
  Nodes[0]->Process->awaitLine("\"shard-released\"");
  awaitAllOwned(Nodes[0].get());
}
