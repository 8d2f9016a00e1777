#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

struct whole_path_fixture : fleet_fixture {
  whole_path_fixture() {
    addTarget("hive-1", "lakes-a");
    addNode("vm-1", "lakes-a");
    listNodes();
    writeServiceFile("hive", "[[route]]\npath = \"/hive\"\nrepeatable = true\n"
                             "[[route]]\npath = \"/open\"\nopen = true\n" +
                                 accountToml("keepers", "secret", 100, 100));
    Published = publish("first");
    awaitRevision(1);
    awaitReady(*Nodes[0]);
  }

  std::uint16_t port() const { return Nodes[0]->CallerPort; }
  finished_program Published;
};

} // namespace

TEST_CASE_FIXTURE(whole_path_fixture, "node_keyedRequest_wholeAnswerOfTarget") {
  CHECK(Published.ExitCode == 0);
  awaitCondition("vm-1 in the addresses", [&] {
    return httpCall(port(), {.Path = "/peridot/v1/addresses"})
               .Body.find("\"vm-1\"") != std::string::npos;
  });
  const http_answer Answer = httpCall(
      port(), {.Method = "POST",
               .Path = "/hive/logs",
               .Fields = {{"Peridot-Key", "secret"}, {"X-Request-Id", "r1"}},
               .Body = "queen seen"});
  CHECK(Answer.Status == 200);
  CHECK(Answer.Body == "queen seen");
  CHECK(Answer.Fields.at("x-target") == "hive-1");
  const std::string Executions = Targets[0]->executions();
  CHECK(Executions.find("\"r1\"") != std::string::npos);
  CHECK(Executions.find("\"saw_key\":true") == std::string::npos);
}

TEST_CASE_FIXTURE(whole_path_fixture, "node_wrongOrNoKey_refusedNotRun") {
  const http_answer NoKey = httpCall(port(), {.Path = "/hive"});
  CHECK(NoKey.Status == 401);
  CHECK(NoKey.Fields.at("peridot-outcome") == "not-run");
  CHECK(NoKey.Fields.at("content-type") == "application/problem+json");
  const http_answer WrongKey =
      httpCall(port(), {.Path = "/hive", .Fields = {{"Peridot-Key", "guess"}}});
  CHECK(WrongKey.Status == 401);
  CHECK(httpCall(port(), {.Path = "/open/x"}).Status == 200);
  CHECK(httpCall(port(), {.Path = "/nowhere"}).Status == 404);
}

TEST_CASE_FIXTURE(whole_path_fixture, "publish_sameIdAgain_sameRevision") {
  CHECK(publish("again", {"--publish_id=p2"}).ExitCode == 0);
  platformFaults("lose_answers=1");
  const finished_program Repeated = publish("again", {"--publish_id=p2"});
  CHECK(Repeated.ExitCode == 0);
  CHECK(Repeated.Output.find("revision 2 was in force") != std::string::npos);
}

TEST_CASE_FIXTURE(whole_path_fixture, "node_stopSignal_leavesAndExitsCleanly") {
  Nodes[0]->Process->signal(SIGTERM);
  CHECK(Nodes[0]->Process->awaitExit() == 0);
}
