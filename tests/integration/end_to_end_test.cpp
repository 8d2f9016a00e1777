#include <doctest/doctest.h>

#include "support/fleet_fixture.h"

using namespace peridot::test;

namespace {

struct end_to_end_fixture : fleet_fixture {
  end_to_end_fixture() {
    addTarget("hive-1", "lakes-a");
    addNode("vm-1", "lakes-a");
    updateVmList();
    writeServiceFile("hive", "[[route]]\npath = \"/hive\"\nrepeatable = true\n"
                             "[[route]]\npath = \"/open\"\nopen = true\n" +
                                 accountToml("keepers", "secret", 100, 100));
    PublishResult = publish("first");
    awaitRevision(1);
    awaitReady(*Nodes[0]);
  }

  std::uint16_t port() const { return Nodes[0]->CallerPort; }
  finished_program PublishResult;
};

} // namespace

TEST_CASE_FIXTURE(end_to_end_fixture,
                  "node_keyedRequest_responseOfTargetForwarded") {
  CHECK(PublishResult.ExitCode == 0);
  awaitCondition("vm-1 in the addresses", [&] {
    return httpCall(port(), {.Path = "/peridot/v1/addresses"})
               .Body.find("\"vm-1\"") != std::string::npos;
  });
  const client_response Response = httpCall(
      port(), {.Method = "POST",
               .Path = "/hive/logs",
               .Fields = {{"Peridot-Key", "secret"}, {"X-Request-Id", "r1"}},
               .Body = "queen seen"});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == "queen seen");
  CHECK(Response.Fields.at("x-target") == "hive-1");
  const std::string Executions = Targets[0]->executions();
  CHECK(Executions.find("\"r1\"") != std::string::npos);
  CHECK(Executions.find("\"saw_key\":true") == std::string::npos);
}

TEST_CASE_FIXTURE(end_to_end_fixture,
                  "node_wrongOrMissingKey_401WithNotRunOutcome") {
  const client_response NoKey = httpCall(port(), {.Path = "/hive"});
  CHECK(NoKey.Status == 401);
  CHECK(NoKey.Fields.at("peridot-outcome") == "not-run");
  CHECK(NoKey.Fields.at("content-type") == "application/problem+json");
  const client_response WrongKey =
      httpCall(port(), {.Path = "/hive", .Fields = {{"Peridot-Key", "guess"}}});
  CHECK(WrongKey.Status == 401);
  CHECK(httpCall(port(), {.Path = "/open/x"}).Status == 200);
  CHECK(httpCall(port(), {.Path = "/nowhere"}).Status == 404);
}

TEST_CASE_FIXTURE(end_to_end_fixture, "publish_repeatedId_sameRevision") {
  CHECK(publish("again", {"--publish_id=p2"}).ExitCode == 0);
  setPlatformFaults("lose_answers=1");
  const finished_program Repeated = publish("again", {"--publish_id=p2"});
  CHECK(Repeated.ExitCode == 0);
  CHECK(Repeated.Output.find("revision 2 was in force") != std::string::npos);
}

TEST_CASE_FIXTURE(end_to_end_fixture, "node_stopSignal_exitsWithCodeZero") {
  Nodes[0]->Process->signal(SIGTERM);
  CHECK(Nodes[0]->Process->awaitExit() == 0);
}
