#include <doctest/doctest.h>

#include "support/caller_load.h"
#include "support/fleet_fixture.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Three nodes before targets behind fault proxies; two accounts send
/// repeatable and unrepeatable requests while tests inject faults.
struct whole_run_fixture : fleet_fixture {
  whole_run_fixture() {
    for (const char *Name : {"hive-1", "hive-2", "hive-3"}) {
      running_target &Target = addTarget(Name, "lakes-a");
      Target.Port = addProxy(Target.Port).Port;
    }
    for (const char *Letter : {"a", "b", "c"})
      addNode(std::string("vm-") + Letter, std::string("lakes-") + Letter);
    listNodes();
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
                                                           .Repeatable = true,
                                                           .Ports = Ports});
    Crews =
        std::make_unique<caller_load>(caller_options{.Account = "crews",
                                                     .Key = "crew-key",
                                                     .Path = "/dispatch/swarm",
                                                     .Ports = Ports});
    awaitAnswers(50);
  }

  /// Waits for \p More answers of 200 to each account.
  void awaitAnswers(std::size_t More) const {
    for (const auto &Load : {&Keepers, &Crews}) {
      const std::size_t Goal = (*Load)->answered(200) + More;
      awaitCondition("answers", [&] { return (*Load)->answered(200) >= Goal; });
    }
  }

  static int shardsOwned(const running_node &Node) {
    const http_answer Status = httpCall(Node.OperatorPort, {.Path = "/status"});
    return Status.Status == 200 ? jsonInteger(Status.Body, "shards_owned") : 0;
  }

  std::vector<violation> finish() {
    run_records Records{.Envelopes = {{"keepers", 60, 30}, {"crews", 60, 30}}};
    for (caller_load *Load : {Keepers.get(), Crews.get()})
      for (answer_record &Answer : Load->stop())
        Records.Answers.push_back(std::move(Answer));
    for (const auto &Proxy : Proxies)
      Proxy->setFaults("");
    for (const auto &Target : Targets)
      for (execution_record &Execution : parseExecutions(Target->executions()))
        Records.Executions.push_back(std::move(Execution));
    CHECK(Records.Executions.size() >= 100);
    return checkRun(Records);
  }

  void checkClean() {
    for (const violation &Violation : finish())
      FAIL_CHECK("broken promise " << static_cast<int>(Violation.Kind) << ": "
                                   << Violation.Detail);
  }

  std::unique_ptr<caller_load> Keepers;
  std::unique_ptr<caller_load> Crews;
};

/// One node before one target whose answers are crossed in pairs.
struct crossed_answers_fixture : fleet_fixture {
  crossed_answers_fixture() {
    running_target &Target = addTarget("hive-1", "lakes-a");
    running_proxy &Proxy = addProxy(Target.Port);
    Proxy.setFaults("crossed=1");
    Target.behave("delay_ms=500");
    std::swap(Target.Port, Proxy.Port);
    addNode("vm-a", "lakes-a");
    listNodes();
    writeServiceFile("hive", "echoes_attempt_id = true\n"
                             "[[route]]\npath = \"/once\"\nopen = true\n");
    publish("first");
    awaitRevision(1);
    awaitReady(*Nodes[0]);
  }

  http_answer call(const std::string &Id) const {
    return httpCall(Nodes[0]->CallerPort, {.Method = "POST",
                                           .Path = "/once",
                                           .Fields = {{"X-Request-Id", Id}},
                                           .Body = Id});
  }
};

} // namespace

TEST_CASE_FIXTURE(crossed_answers_fixture,
                  "node_crossedAnswers_neverPassedOn") {
  http_answer First;
  std::thread Caller([&] { First = call("r1"); });
  const http_answer Second = call("r2");
  Caller.join();
  for (const http_answer &Answer : {First, Second}) {
    CHECK(Answer.Status == 502);
    CHECK(Answer.Fields.at("peridot-outcome") == "unknown");
  }
}

TEST_CASE_FIXTURE(whole_run_fixture, "fleet_brokenTargetLinks_promisesHold") {
  Proxies[0]->setFaults("backward_truncate_at=200");
  awaitAnswers(50);
  Proxies[0]->setFaults("backward_cut=1");
  Proxies[1]->forgetConnections();
  awaitAnswers(50);
  Proxies[0]->setFaults("");
  awaitAnswers(50);
  checkClean();
}

TEST_CASE_FIXTURE(whole_run_fixture, "fleet_crossedAnswers_promisesHold") {
  Proxies[0]->setFaults("crossed=1&backward_delay_ms=20");
  awaitAnswers(30);
  checkClean();
}

TEST_CASE_FIXTURE(whole_run_fixture,
                  "fleet_platformAwayNodeKilled_promisesHold") {
  platformFaults("down=1");
  awaitAnswers(20);
  Nodes[2]->Process->signal(SIGKILL);
  awaitAnswers(20);
  platformFaults("down=0");
  awaitAnswers(50);
  checkClean();
}

TEST_CASE_FIXTURE(whole_run_fixture,
                  "fleet_nodePausedThenResumed_promisesHold") {
  Nodes[1]->Process->signal(SIGSTOP);
  awaitCondition("the others to own all shards", [&] {
    return shardsOwned(*Nodes[0]) + shardsOwned(*Nodes[2]) == 256;
  });
  Nodes[1]->Process->signal(SIGCONT);
  awaitAnswers(50);
  checkClean();
}
