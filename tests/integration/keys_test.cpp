#include <fstream>

#include <doctest/doctest.h>

#include "state/base/hashing.h"
#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

constexpr const char *DataCenters[] = {"lakes-a", "lakes-b", "lakes-c"};

struct keys_fixture : fleet_fixture {
  keys_fixture() {
    addTarget("hive-1", "lakes-a");
    for (int Index = 0; Index < 6; ++Index)
      addNode("vm-" + std::to_string(Index + 1), DataCenters[Index % 3]);
    updateVmList();
    writeServiceFile("hive", "[[route]]\npath = \"/hive\"\nrepeatable = true\n"
                             "[[route]]\npath = \"/open\"\nopen = true\n" +
                                 accountToml("keepers", "secret", 1e4, 1e4) +
                                 accountToml("renters", "spare", 1e4, 1e4));
    publish("first");
    awaitRevision(1);
    for (const auto &Node : Nodes) {
      awaitReady(*Node);
      awaitCondition("the complete VM list at " + Node->Name, [&] {
        return httpCall(Node->OperatorPort, {.Path = "/status"})
                   .Body.find("\"vms_listed\":6") != std::string::npos;
      });
      Connections.push_back(
          std::make_unique<http_connection>(Node->CallerPort));
    }
    awaitStatusAtAllNodes("secret", 200);
    awaitStatusAtAllNodes("spare", 200);
  }

  finished_program keys(const std::string &Verb, const std::string &Account,
                        const std::string &Key) const {
    return ctl({"keys", Verb, Account, peridot::digestOfKey(Key).str(),
                "--author=tests", "--reason=key test"});
  }

  /// Sends a request on the connection opened at the start; returns its status.
  unsigned request(std::size_t Node, const std::string &Key) const {
    return Connections[Node]
        ->call({.Path = "/hive", .Fields = {{"Peridot-Key", Key}}})
        .Status;
  }

  /// Number of nodes that refuse \p Key.
  std::size_t countRefusingNodes(const std::string &Key) const {
    std::size_t Count = 0;
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
      Count += request(Node, Key) == 401 ? 1 : 0;
    return Count;
  }

  void awaitStatusAtAllNodes(const std::string &Key, unsigned Status) const {
    for (std::size_t Node = 0; Node < Nodes.size(); ++Node)
      awaitCondition(std::to_string(Status) + " at " + Nodes[Node]->Name,
                     [&] { return request(Node, Key) == Status; });
  }

  std::vector<std::unique_ptr<http_connection>> Connections;
};

} // namespace

TEST_CASE_FIXTURE(keys_fixture,
                  "revoke_openConnectionsAndPlatformDown_refusedByAllNodes") {
  awaitStatusAtAllNodes("secret", 200);
  CHECK(keys("revoke", "keepers", "secret").ExitCode == 0);
  awaitCondition("the first refusal of the revoked key",
                 [&] { return countRefusingNodes("secret") > 0; });
  setPlatformFaults("down=1");
  awaitStatusAtAllNodes("secret", 401);
  awaitStatusAtAllNodes("spare", 200);
}

TEST_CASE_FIXTURE(keys_fixture,
                  "revoke_repeated_sameRevisionAndOldFilesRefused") {
  CHECK(keys("revoke", "keepers", "secret").Output ==
        "revision 2 is accepted\n");
  CHECK(keys("revoke", "keepers", "secret").Output ==
        "revision 2 was in force already\n");
  const finished_program Published = publish("old file");
  CHECK(Published.ExitCode == 3);
  CHECK(Published.Output.find("was revoked") != std::string::npos);
  CHECK(keys("revoke", "grooms", "secret").ExitCode == 1);
  CHECK(keys("add", "keepers", "spare").ExitCode == 3);
}

TEST_CASE_FIXTURE(keys_fixture, "add_responseLost_keyAcceptedByAllNodes") {
  awaitStatusAtAllNodes("fresh", 401);
  setPlatformFaults("lose_answers=2");
  CHECK(keys("add", "keepers", "fresh").ExitCode == 0);
  awaitStatusAtAllNodes("fresh", 200);
  awaitRevision(2);
}

TEST_CASE_FIXTURE(keys_fixture, "node_isolated_refusesNotRunUntilReconnected") {
  setPlatformFaults("down=1");
  for (std::size_t Node = 0; Node + 1 < Nodes.size(); ++Node)
    Nodes[Node]->Process->signal(SIGSTOP);
  const std::size_t Last = Nodes.size() - 1;
  awaitCondition("a refusal by the isolated node",
                 [&] { return request(Last, "secret") == 503; });
  const client_response Refused = Connections[Last]->call(
      {.Path = "/hive", .Fields = {{"Peridot-Key", "secret"}}});
  CHECK(Refused.Body.find("keys-not-fresh") != std::string::npos);
  CHECK(Refused.Fields.at("peridot-outcome") == "not-run");
  CHECK(Connections[Last]->call({.Path = "/open"}).Status == 200);
  for (std::size_t Node = 0; Node + 1 < Nodes.size(); ++Node)
    Nodes[Node]->Process->signal(SIGCONT);
  awaitStatusAtAllNodes("secret", 200);
}

TEST_CASE_FIXTURE(keys_fixture,
                  "node_startedInOutage_adoptsHighestPeerRevision") {
  CHECK(keys("revoke", "keepers", "secret").ExitCode == 0);
  awaitRevision(2);
  const std::string Seeds = folder() + "/seeds.json";
  std::ofstream(Seeds) << httpCall(PlatformPort, {.Path = "/vms"}).Body;
  const std::string PeerPort = std::to_string(Nodes.back()->PeerPort);
  const std::string Name = Nodes.back()->Name;
  Nodes.back()->Process->signal(SIGKILL);
  Nodes.back()->Process->awaitExit();
  Nodes.pop_back();
  setPlatformFaults("down=1");
  const running_node &Node =
      addNode(Name, "lakes-c",
              {"--peer_port=" + PeerPort, "--seed_list_file=" + Seeds});
  awaitReady(Node);
  awaitRevision(2);
  const http_call RevokedKeyCall{.Path = "/hive",
                                 .Fields = {{"Peridot-Key", "secret"}}};
  CHECK(httpCall(Node.CallerPort, RevokedKeyCall).Status == 401);
  const http_call ValidKeyCall{.Path = "/hive",
                               .Fields = {{"Peridot-Key", "spare"}}};
  awaitCondition("acceptance of the valid key at " + Name, [&] {
    return httpCall(Node.CallerPort, ValidKeyCall).Status == 200;
  });
}
