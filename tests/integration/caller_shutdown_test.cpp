#include <doctest/doctest.h>

#include "support/caller_fixture.h"

using namespace peridot::test;

namespace {

struct caller_shutdown_fixture : caller_fixture {
  void stopNode() {
    Nodes[0]->Process->signal(SIGTERM);
    Nodes[0]->Process->awaitLine("shutdown-started");
  }
  static std::string get(const std::string &Path) {
    return "GET " + Path + " HTTP/1.1\r\nHost: fleet\r\n\r\n";
  }
};

} // namespace

TEST_CASE_FIXTURE(caller_shutdown_fixture,
                  "node_stoppedDuringRequest_completeResponseThenExit") {
  target().setBehaviour("delay_ms=2500");
  http_connection Caller(port());
  Caller.send(get("/once"));
  awaitCondition("the target to execute the request",
                 [&] { return target().executions() != "[]"; });
  stopNode();
  const client_response Response = Caller.receive();
  CHECK(Response.Status == 200);
  CHECK(Response.Fields.at("connection") == "close");
  CHECK(Nodes[0]->Process->awaitExit() == 0);
}

TEST_CASE_FIXTURE(caller_shutdown_fixture,
                  "node_stopped_openConnectionsServedUntilClosed") {
  http_connection Caller(port());
  Caller.send(get("/hive"));
  CHECK(Caller.receive().Status == 200);
  stopNode();
  awaitCondition("the caller port to be closed", [&] {
    return httpCall(port(), {.Path = "/hive"}).Status == 0;
  });
  Caller.send(get("/hive"));
  const client_response Response = Caller.receive();
  CHECK(Response.Status == 200);
  CHECK(Response.Fields.at("connection") == "close");
  CHECK(Nodes[0]->Process->awaitExit() == 0);
}
