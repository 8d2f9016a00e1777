#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

constexpr int AllShards = 256;

struct ownership_fixture : fleet_fixture {
  explicit ownership_fixture(bool WithProxies = false) {
    const char *DataCenters[] = {"lakes-a", "lakes-b", "lakes-c"};
    for (int Index = 0; Index < 5; ++Index) {
      running_node &Node =
          addNode("vm-" + std::to_string(Index), DataCenters[Index % 3]);
      if (WithProxies)
        addPeerProxy(Node);
    }
    listNodes();
  }

  static int status(const running_node &Node, const std::string &Field) {
    const http_answer Answer = httpCall(Node.OperatorPort, {.Path = "/status"});
    return Answer.Status == 200 ? jsonInteger(Answer.Body, Field) : 0;
  }

  /// The node's incarnation as text; it does not fit an int.
  static std::string incarnation(const running_node &Node) {
    const std::string Body =
        httpCall(Node.OperatorPort, {.Path = "/status"}).Body;
    const std::string Field = "\"incarnation\":";
    const auto Begin = Body.find(Field) + Field.size();
    return Body.substr(Begin, Body.find(',', Begin) - Begin);
  }

  std::string shardMap() const {
    return httpCall(PlatformPort, {.Path = "/objects/shards"}).Body;
  }

  /// Bytes of lease messages that a node has sent.
  static int leaseBytes(const running_node &Node) {
    const std::string Text =
        httpCall(Node.OperatorPort, {.Path = "/metrics"}).Body;
    const std::string Series =
        "peridot_peer_sent_bytes_total{subject=\"ownership\"} ";
    const auto Found = Text.find(Series);
    return Found == std::string::npos
               ? 0
               : std::stoi(Text.substr(Found + Series.size()));
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

/// Peer links run through fault proxies, one before each node.
struct cut_fixture : ownership_fixture {
  cut_fixture() : ownership_fixture(true) { awaitAllOwned(); }

  /// Frames of vm-0 reach nobody.
  void cutFromFirst() const {
    for (std::size_t Index = 1; Index < Proxies.size(); ++Index)
      Proxies[Index]->setFaults("label=vm-0&forward_cut=1");
  }

  /// Frames of nobody reach vm-0.
  void cutToFirst() const { Proxies[0]->setFaults("label=*&forward_cut=1"); }

  void awaitReplacement() const {
    Nodes[0]->Process->awaitLine("\"lease-lost\"");
    awaitAllOwned(Nodes[0].get());
    CHECK(status(*Nodes[0], "shards_acting") == 0);
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

TEST_CASE_FIXTURE(ownership_fixture, "fleet_platformAway_ownersKeepActing") {
  awaitAllOwned();
  platformFaults("down=1");
  // Enough questions and answers for several lease lengths.
  constexpr int SeveralLeases = 2'500;
  for (const auto &Node : Nodes) {
    const int Before = leaseBytes(*Node);
    awaitCondition("lease renewals of " + Node->Name,
                   [&] { return leaseBytes(*Node) > Before + SeveralLeases; });
  }
  CHECK(acting() == AllShards);
}

TEST_CASE_FIXTURE(ownership_fixture, "owner_killedInOutage_shardsFrozen") {
  awaitAllOwned();
  const int Lost = status(*Nodes[0], "shards_owned");
  platformFaults("down=1");
  Nodes[0]->Process->signal(SIGKILL);
  for (const auto &Node : Nodes)
    if (Node != Nodes[0])
      Node->Process->awaitLine("\"vm-suspected\"");
  CHECK(acting(Nodes[0].get()) == AllShards - Lost);
  platformFaults("down=0");
  awaitAllOwned(Nodes[0].get());
}

TEST_CASE_FIXTURE(ownership_fixture, "witness_restarted_replacedInTheMap") {
  awaitAllOwned();
  const std::string Old = incarnation(*Nodes[4]);
  REQUIRE(shardMap().find(Old) != std::string::npos);
  Nodes[4]->Process->signal(SIGKILL);
  Nodes.pop_back();
  addNode("vm-4", "lakes-b");
  listNodes();
  awaitCondition("a map without the old incarnation",
                 [&] { return shardMap().find(Old) == std::string::npos; });
  awaitAllOwned();
}

TEST_CASE_FIXTURE(ownership_fixture, "claim_answersLost_settledByReadingBack") {
  awaitAllOwned();
  platformFaults("lose_answers=3");
  Nodes[0]->Process->signal(SIGKILL);
  awaitAllOwned(Nodes[0].get());
}

TEST_CASE_FIXTURE(cut_fixture, "owner_cutOff_stopsAndIsReplaced") {
  cutFromFirst();
  cutToFirst();
  awaitReplacement();
}

TEST_CASE_FIXTURE(cut_fixture, "owner_questionsCutOneWay_stopsAndIsReplaced") {
  cutFromFirst();
  awaitReplacement();
}

TEST_CASE_FIXTURE(cut_fixture, "owner_answersCutOneWay_stopsAndIsReplaced") {
  cutToFirst();
  awaitReplacement();
}
