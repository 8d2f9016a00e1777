#include <doctest/doctest.h>

#include "support/caller_load.h"
#include "support/fleet_fixture.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Three nodes and three targets behind fault proxies. While tests inject
/// faults, the account keepers sends repeatable requests and the account crews
/// sends requests that are not repeatable.
struct fault_injection_fixture : fleet_fixture {
  fault_injection_fixture() {
    for (const char *Name : {"hive-1", "hive-2", "hive-3"}) {
      running_target &Target = addTarget(Name, "lakes-a");
      Target.Port = addProxy(Target.Port).Port;
    }
    for (const char *Letter : {"a", "b", "c"})
      addNode(std::string("vm-") + Letter, std::string("lakes-") + Letter);
    updateVmList();
    writeServiceFile("hive",
                     "echoes_attempt_id = true\n"
                     "[[route]]\npath = \"/hive\"\nrepeatable = true\n"
                     "deadline_ms = 1000\n"
                     "[[route]]\npath = \"/dispatch\"\ndeadline_ms = 1000\n" +
                         accountToml("keepers", "keeper-key", 60, 30) +
                         accountToml("crews", "crew-key", 60, 30));
    publish("first");
    awaitRevision(1);
    std::vector<std::uint16_t> Ports;
    for (const auto &Node : Nodes) {
      awaitReady(*Node);
      Ports.push_back(Node->CallerPort);
    }
    Keepers = std::make_unique<caller_load>(caller_options{.Account = "keepers",
                                                           .Key = "keeper-key",
                                                           .Path = "/hive/logs",
                                                           .IsRepeatable = true,
                                                           .Ports = Ports});
    Crews =
        std::make_unique<caller_load>(caller_options{.Account = "crews",
                                                     .Key = "crew-key",
                                                     .Path = "/dispatch/swarm",
                                                     .Ports = Ports});
    awaitResponses(50);
  }

  /// Waits until each account received \p More responses with status 200.
  void awaitResponses(std::size_t More) const {
    for (const auto &Load : {&Keepers, &Crews}) {
      const std::size_t Goal = (*Load)->responseCount(200) + More;
      awaitCondition("responses with status 200",
                     [&] { return (*Load)->responseCount(200) >= Goal; });
    }
  }

  static int shardsOwned(const running_node &Node) {
    const client_response Status =
        httpCall(Node.OperatorPort, {.Path = "/status"});
    return Status.Status == 200 ? jsonInteger(Status.Body, "shards_owned") : 0;
  }

  /// Stops the callers, ends the target faults and checks all records.
  std::vector<violation> stopAndCheck() {
    run_records Records{.Envelopes = {{"keepers", 60, 30}, {"crews", 60, 30}}};
    for (caller_load *Load : {Keepers.get(), Crews.get()})
      for (response_record &Response : Load->stop())
        Records.Responses.push_back(std::move(Response));
    for (const auto &Proxy : Proxies)
      Proxy->setFaults("");
    for (const auto &Target : Targets)
      for (execution_record &Execution : parseExecutions(Target->executions()))
        Records.Executions.push_back(std::move(Execution));
    CHECK(Records.Executions.size() >= 100);
    return checkRun(Records);
  }

  void checkClean() {
    for (const violation &Violation : stopAndCheck())
      FAIL_CHECK("violated guarantee " << static_cast<int>(Violation.Kind)
                                       << ": " << Violation.Detail);
  }

  std::unique_ptr<caller_load> Keepers;
  std::unique_ptr<caller_load> Crews;
};

/// One node and one target behind a proxy that swaps the responses of two
/// connections.
struct crossed_responses_fixture : fleet_fixture {
  crossed_responses_fixture() {
    running_target &Target = addTarget("hive-1", "lakes-a");
    running_proxy &Proxy = addProxy(Target.Port);
    Proxy.setFaults("crossed=1");
    Target.setBehaviour("delay_ms=500");
    std::swap(Target.Port, Proxy.Port);
    addNode("vm-a", "lakes-a");
    updateVmList();
    writeServiceFile("hive", "echoes_attempt_id = true\n"
                             "[[route]]\npath = \"/once\"\nopen = true\n");
    publish("first");
    awaitRevision(1);
    awaitReady(*Nodes[0]);
  }

  client_response call(const std::string &Id) const {
    return httpCall(Nodes[0]->CallerPort, {.Method = "POST",
                                           .Path = "/once",
                                           .Fields = {{"X-Request-Id", Id}},
                                           .Body = Id});
  }
};

} // namespace

TEST_CASE_FIXTURE(crossed_responses_fixture,
                  "node_crossedResponses_502InsteadOfForwarding") {
  client_response First;
  std::thread Caller([&] { First = call("r1"); });
  const client_response Second = call("r2");
  Caller.join();
  for (const client_response &Response : {First, Second}) {
    CHECK(Response.Status == 502);
    CHECK(Response.Fields.at("peridot-outcome") == "unknown");
  }
}

TEST_CASE_FIXTURE(fault_injection_fixture,
                  "fleet_targetLinksBroken_guaranteesHold") {
  Proxies[0]->setFaults("backward_truncate_at=200");
  awaitResponses(50);
  Proxies[0]->setFaults("backward_cut=1");
  Proxies[1]->forgetConnections();
  awaitResponses(50);
  Proxies[0]->setFaults("");
  awaitResponses(50);
  checkClean();
}

TEST_CASE_FIXTURE(fault_injection_fixture,
                  "fleet_crossedResponses_guaranteesHold") {
  Proxies[0]->setFaults("crossed=1&backward_delay_ms=20");
  awaitResponses(30);
  checkClean();
}

TEST_CASE_FIXTURE(fault_injection_fixture,
                  "fleet_platformDownAndNodeKilled_guaranteesHold") {
  setPlatformFaults("down=1");
  awaitResponses(20);
  Nodes[2]->Process->signal(SIGKILL);
  awaitResponses(20);
  setPlatformFaults("down=0");
  awaitResponses(50);
  checkClean();
}

TEST_CASE_FIXTURE(fault_injection_fixture,
                  "fleet_nodePausedThenResumed_guaranteesHold") {
  Nodes[1]->Process->signal(SIGSTOP);
  awaitCondition("the others to own all shards", [&] {
    return shardsOwned(*Nodes[0]) + shardsOwned(*Nodes[2]) == 256;
  });
  Nodes[1]->Process->signal(SIGCONT);
  awaitResponses(50);
  checkClean();
}
