#include <doctest/doctest.h>

#include "support/caller_fixture.h"

using namespace peridot::test;

namespace {

struct caller_shutdown_fixture : caller_fixture {
  using caller_fixture::caller_fixture;

  void stopNode() {
    Nodes[0]->Process->signal(SIGTERM);
    Nodes[0]->Process->awaitLine("shutdown-started");
  }
  static std::string get(const std::string &Path) {
    return "GET " + Path + " HTTP/1.1\r\nHost: fleet\r\n\r\n";
  }
};

/// The process ends long before the deadline of most routes.
struct short_shutdown_fixture : caller_shutdown_fixture {
  short_shutdown_fixture()
      : caller_shutdown_fixture({"--shutdown_limit_seconds=3"}) {}
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

// Guards against requests that arrive late in a shutdown, are sent to a target
// and then cut off with the process, so that nobody knows whether they ran.
TEST_CASE_FIXTURE(short_shutdown_fixture,
                  "node_requestLateInShutdown_refusedAsNotRun") {
  target().setBehaviour("delay_ms=4000");
  http_connection Caller(port());
  stopNode();
  Caller.send(get("/once"));
  const client_response Response = Caller.receive();
  CHECK(Response.Status == 503);
  CHECK(Response.Fields.at("peridot-outcome") == "not-run");
  CHECK(Response.Fields.at("connection") == "close");
  CHECK(target().executions() == "[]");
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
