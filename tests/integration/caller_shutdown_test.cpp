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
                  "node_stoppedDuringRequest_wholeAnswerThenExit") {
  target().behave("delay_ms=2500");
  http_connection Caller(port());
  Caller.send(get("/once"));
  awaitCondition("the target to run it",
                 [&] { return target().executions() != "[]"; });
  stopNode();
  const http_answer Answer = Caller.receive();
  CHECK(Answer.Status == 200);
  CHECK(Answer.Fields.at("connection") == "close");
  CHECK(Nodes[0]->Process->awaitExit() == 0);
}

TEST_CASE_FIXTURE(caller_shutdown_fixture,
                  "node_stopped_openConnectionsServedUntilClosed") {
  http_connection Caller(port());
  Caller.send(get("/hive"));
  CHECK(Caller.receive().Status == 200);
  stopNode();
  awaitCondition("the callers' port to be closed", [&] {
    return httpCall(port(), {.Path = "/hive"}).Status == 0;
  });
  Caller.send(get("/hive"));
  const http_answer Answer = Caller.receive();
  CHECK(Answer.Status == 200);
  CHECK(Answer.Fields.at("connection") == "close");
  CHECK(Nodes[0]->Process->awaitExit() == 0);
}
