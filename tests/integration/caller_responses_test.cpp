#include <fstream>
#include <future>

#include <doctest/doctest.h>

#include "support/caller_fixture.h"
#include "support/scripted_target.h"

using namespace peridot::test;

namespace {

/// Adds the routes /raw and /raw-again to those of caller_fixture; their only
/// target is scripted.
struct caller_responses_fixture : caller_fixture {
  /// Publishes routes to a target that runs \p Script for each connection.
  void addScriptedTarget(scripted_target::script Script) {
    Scripted = std::make_unique<scripted_target>(std::move(Script));
    std::ofstream(folder() + "/services/raw.toml")
        << "service = \"raw\"\n[[route]]\npath = \"/raw\"\nopen = true\n"
           "[[route]]\npath = \"/raw-again\"\nopen = true\n"
           "repeatable = true\ndeadline_ms = 400\n"
           "[[target]]\nname = \"raw-1\"\ndata_center = \"lakes-a\"\n"
           "address = \"127.0.0.1\"\nport = "
        << Scripted->port() << "\n";
    publish("scripted target");
    awaitRevision(2);
    awaitCondition("the route /raw in the traffic threads", [&] {
      return httpCall(port(), {.Method = "PUT", .Path = "/raw"}).Status != 404;
    });
  }

  /// Responds to GET requests with \p Response and to others with 204.
  static scripted_target::script respondingWith(const std::string &Response) {
    return [Response](scripted_connection &Connection) {
      if (!Connection.readUntil("\r\n\r\n"))
        return;
      const bool IsGet = Connection.received().starts_with("GET");
      Connection.send(IsGet ? Response : NoContent);
    };
  }

  static constexpr const char *NoContent =
      "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
  std::unique_ptr<scripted_target> Scripted;
};

const std::string RawGet = "GET /raw HTTP/1.1\r\nHost: fleet\r\n\r\n";

} // namespace

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_chunkedResponseTruncated_finalChunkNotSent") {
  addScriptedTarget(
      respondingWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                     "5\r\nqueen\r\n"));
  const std::string Response = sendRaw(RawGet);
  CHECK(Response.find("queen") != Response.npos);
  CHECK(Response.find("0\r\n\r\n") == Response.npos);
  awaitMetric("peridot_requests_total{service=\"raw\",account=\"\",outcome="
              "\"unknown\"}",
              1);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_sizedResponseTruncated_bodyShorterThanLength") {
  addScriptedTarget(
      respondingWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nqueen"));
  const std::string Response = sendRaw(RawGet);
  CHECK(Response.find("Content-Length: 10") != Response.npos);
  CHECK(Response.ends_with("\r\n\r\nqueen"));
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_responseInParts_partsForwardedImmediately") {
  std::promise<void> FirstPartReceived;
  std::shared_future<void> Received = FirstPartReceived.get_future().share();
  addScriptedTarget([Received](scripted_connection &Connection) {
    if (!Connection.readUntil("\r\n\r\n"))
      return;
    if (!Connection.received().starts_with("GET")) {
      Connection.send(NoContent);
      return;
    }
    Connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                    "5\r\nqueen\r\n");
    Received.wait();
    Connection.send("4\r\nseen\r\n0\r\n\r\n");
  });
  http_connection Caller(port());
  Caller.send(RawGet);
  CHECK(Caller.receiveUntil("queen").starts_with("HTTP/1.1 200"));
  FirstPartReceived.set_value();
  const std::string Rest = Caller.receiveUntil("0\r\n\r\n");
  CHECK(Rest.find("seen") != Rest.npos);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_interimResponse_finalResponseForwarded") {
  addScriptedTarget(
      respondingWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                     "Connection: close\r\n\r\nqueen"));
  const std::string Response =
      sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
  CHECK(Response.starts_with("HTTP/1.1 200"));
  CHECK(Response.find("5\r\nqueen\r\n0\r\n\r\n") != Response.npos);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_responseDuringUpload_forwardedAndConnectionClosed") {
  addScriptedTarget([](scripted_connection &Connection) {
    if (!Connection.readUntil("\r\n\r\n"))
      return;
    const bool IsPost = Connection.received().starts_with("POST");
    Connection.send(IsPost ? "HTTP/1.1 403 Forbidden\r\nContent-Length: 4\r\n"
                             "\r\nfull"
                           : NoContent);
    Connection.readToEnd();
  });
  // More than the node buffers before it sends the head to the target; the
  // rest of the body is never sent.
  const std::string Response =
      sendRaw("POST /raw HTTP/1.1\r\nHost: fleet\r\nContent-Length: 900000\r\n"
              "\r\n" +
              std::string(100'000, 'a'));
  CHECK(Response.starts_with("HTTP/1.1 403"));
  CHECK(Response.find("Connection: close") != Response.npos);
  CHECK(Response.ends_with("\r\n\r\nfull"));
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_responseBeforeBody_bodyNotParsedAsRequest") {
  addScriptedTarget([](scripted_connection &Connection) {
    // Sent before anything is read, so that the response crosses the request
    // in transit.
    Connection.send("HTTP/1.1 403 Forbidden\r\nContent-Length: 4\r\n\r\nfull");
    Connection.readToEnd();
  });
  constexpr int Uploads = 60;
  for (int Count = 0; Count < Uploads; ++Count) {
    const std::string Response = sendRaw("POST /raw HTTP/1.1\r\nHost: fleet\r\n"
                                         "Content-Length: 900000\r\n\r\n" +
                                         std::string(100'000, 'a'));
    REQUIRE(Response.starts_with("HTTP/1.1 403"));
    REQUIRE(Response.ends_with("\r\n\r\nfull"));
  }
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_newConnectionRespondsOldSilent_oldRetired") {
  addScriptedTarget([](scripted_connection &Connection) {
    if (!Connection.readUntil("\r\n\r\n"))
      return;
    Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    // A second request on the same connection gets no response.
    Connection.readToEnd();
  });
  // Each request that is not repeatable opens a new connection.
  for (int Count = 0; Count < 3; ++Count)
    CHECK(httpCall(port(), {.Path = "/raw"}).Status == 200);
  const http_call Call{.Path = "/raw-again"};
  CHECK(httpCall(port(), Call).Status == 504);
  CHECK(httpCall(port(), Call).Status == 200);
  awaitMetric("peridot_connections_retired_total{target=\"raw-1\"}", 2);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_targetSheds_503WithNotRunOutcome") {
  target().setBehaviour("shed=1");
  const client_response Response = httpCall(
      port(), {.Method = "POST", .Path = "/once", .Body = "swarm dispatch"});
  CHECK(Response.Status == 503);
  CHECK(Response.Fields.at("peridot-outcome") == "not-run");
  CHECK(Response.Body.find("target-shed") != std::string::npos);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_oneOfTwoTargetsSheds_otherTargetServes") {
  running_target &Shedding = addTarget("hive-2", "lakes-a");
  Shedding.setBehaviour("shed=1");
  writeServiceFile("hive", "[[route]]\npath = \"/once\"\nopen = true\n");
  publish("a second target");
  awaitRevision(2);
  constexpr int Calls = 30;
  for (int Count = 0; Count < Calls; ++Count) {
    const client_response Response = httpCall(
        port(), {.Method = "POST", .Path = "/once", .Body = "swarm dispatch"});
    CHECK(Response.Status == 200);
    CHECK(Response.Body == "swarm dispatch");
  }
  CHECK(Shedding.executions() == "[]");
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_deadlineExceeded_504WithUnknownOutcome") {
  target().setBehaviour("delay_ms=60000");
  const client_response Response = httpCall(port(), {.Path = "/quick"});
  CHECK(Response.Status == 504);
  CHECK(Response.Fields.at("peridot-outcome") == "unknown");
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_bodyIncomplete_504WithNotRunOutcome") {
  const std::string Response =
      sendRaw("POST /quick HTTP/1.1\r\nHost: fleet\r\nContent-Length: 9\r\n"
              "\r\nhalf");
  CHECK(Response.starts_with("HTTP/1.1 504"));
  CHECK(Response.find("Peridot-Outcome: not-run") != Response.npos);
  CHECK(target().executions() == "[]");
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_callerDisconnects_attemptCancelled") {
  target().setBehaviour("delay_ms=60000");
  {
    http_connection Leaving(port());
    Leaving.send("GET /once HTTP/1.1\r\nHost: fleet\r\n\r\n");
    awaitCondition("the target to execute the request",
                   [&] { return target().executions() != "[]"; });
  }
  awaitMetric("peridot_requests_total{service=\"hive\",account=\"\",outcome="
              "\"cancelled\"}",
              1);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_keyedRequest_targetReceivesAccountWithoutKey") {
  const client_response Response = httpCall(
      port(),
      {.Path = "/keyed",
       .Fields = {{"Peridot-Key", "secret"}, {"Peridot-Account", "forged"}}});
  CHECK(Response.Status == 200);
  CHECK(target().executions() ==
        R"([{"request_id":"","account":"keepers","saw_key":false}])");
  // The request is counted after its response was sent.
  const std::string Series = "peridot_requests_total{service=\"hive\","
                             "account=\"keepers\",outcome=\"answered\"}";
  awaitMetric(Series, 1);
  CHECK(metric(Series) == 1);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_largeBodies_forwardedUnchanged") {
  const std::string Body(3'000'000, 'q');
  const client_response Response =
      httpCall(port(), {.Method = "POST", .Path = "/hive", .Body = Body});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == Body);
}

TEST_CASE_FIXTURE(caller_responses_fixture,
                  "node_postWithBodyRefused_connectionStaysOpen") {
  http_connection Connection(port());
  const client_response Refused = Connection.call(
      {.Method = "POST", .Path = "/keyed", .Body = std::string(9'000, 'q')});
  CHECK(Refused.Status == 401);
  CHECK(Connection.call({.Path = "/hive"}).Status == 200);
}
