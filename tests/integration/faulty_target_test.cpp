#include <atomic>
#include <thread>

#include <doctest/doctest.h>

#include "support/faulty_target_fixture.h"

using namespace peridot::test;

// Guards against a target that writes an earlier refusal once more on a kept
// connection: it says nothing about the request that is running there.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_repeatedRefusalOnKeptConnection_ownResponseForwarded") {
  std::atomic<int> Requests = 0;
  addScriptedTarget([&](scripted_connection &Connection) {
    ++Requests;
    Connection.send(response("200 OK", attemptIdOf(Connection), "first"));
    if (!Connection.readUntil("GET /raw-again?second"))
      return;
    ++Requests;
    Connection.send(response("503 Service Unavailable", "earlier", "shed") +
                    response("200 OK", attemptIdOf(Connection), "second"));
    Connection.readToEnd();
  });
  CHECK(httpCall(port(), {.Path = "/raw-again"}).Body == "first");
  const client_response Response =
      httpCall(port(), {.Path = "/raw-again?second"});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == "second");
  CHECK(Requests.load() == 2);
}

TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_repeatedRefusalThenSilence_outcomeUnknown") {
  addScriptedTarget([&](scripted_connection &Connection) {
    Connection.send(response("200 OK", attemptIdOf(Connection), "first"));
    if (!Connection.readUntil("GET /raw-again?second"))
      return;
    Connection.send(response("503 Service Unavailable", "earlier", "shed"));
    Connection.readToEnd();
  });
  CHECK(httpCall(port(), {.Path = "/raw-again"}).Status == 200);
  const client_response Response =
      httpCall(port(), {.Path = "/raw-again?second"});
  CHECK(Response.Status >= 502);
  CHECK(Response.Status != 503);
  CHECK(Response.Fields.at("peridot-outcome") == "unknown");
}

// Guards against a target whose response on a kept connection is none of the
// request's: that is no sign of a connection that the target had closed, so the
// request must not go to the same target once more.
TEST_CASE_FIXTURE(
    faulty_target_fixture,
    "node_unmatchedResponseOnKeptConnection_targetNotTriedAgain") {
  std::atomic<int> Requests = 0;
  addScriptedTarget([&](scripted_connection &Connection) {
    ++Requests;
    Connection.send(response("200 OK", attemptIdOf(Connection), "first"));
    if (!Connection.readUntil("GET /raw-again?second"))
      return;
    ++Requests;
    Connection.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nqueen");
    Connection.readToEnd();
  });
  CHECK(httpCall(port(), {.Path = "/raw-again"}).Body == "first");
  const client_response Response =
      httpCall(port(), {.Path = "/raw-again?second"});
  CHECK(Response.Status >= 502);
  CHECK(Requests.load() == 2);
}

// A request that is not repeatable opens a connection of its own, and a refusal
// of another request there does not make it safe to send again.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_staleRefusalOfUnrepeatable_unknownAndNotSentAgain") {
  std::atomic<int> Requests = 0;
  addScriptedTarget([&](scripted_connection &Connection) {
    ++Requests;
    Connection.send(response("503 Service Unavailable", "earlier", "shed"));
    Connection.readToEnd();
  });
  const client_response Response = httpCall(
      port(), {.Method = "POST", .Path = "/raw", .Body = "swarm dispatch"});
  CHECK(Response.Status != 503);
  CHECK(Response.Fields.at("peridot-outcome") == "unknown");
  CHECK(Requests.load() == 1);
}

// Guards against a target that ends the connection inside the head of its
// response: what was received so far must not become a success.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_responseEndsInsideHead_neverForwardedAsSuccess") {
  const std::string Whole = "HTTP/1.1 200 OK\r\nPeridot-Attempt-Id: ID\r\n"
                            "Content-Length: 5\r\n\r\n";
  std::atomic<std::size_t> Length = 0;
  addScriptedTarget([&](scripted_connection &Connection) {
    std::string Head = Whole;
    Head.replace(Head.find("ID"), 2, attemptIdOf(Connection));
    Connection.send(Head.substr(0, Head.size() - Length));
  });
  for (Length = 1; Length < Whole.size(); Length += 3) {
    const client_response Response = httpCall(port(), {.Path = "/raw"});
    CHECK(Response.Status >= 502);
    CHECK(Response.Fields.at("peridot-outcome") == "unknown");
  }
}

// Guards against a second copy of a response that arrives in two parts, while
// the connection already serves the next request.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_secondCopySplitOverReads_ownResponseForwarded") {
  addScriptedTarget([](scripted_connection &Connection) {
    const std::string First =
        response("200 OK", attemptIdOf(Connection), "first");
    Connection.send(First);
    if (!Connection.readUntil("GET /raw-again?second"))
      return;
    Connection.send(First.substr(0, First.size() - 3));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    Connection.send(First.substr(First.size() - 3) +
                    response("200 OK", attemptIdOf(Connection), "second"));
    Connection.readToEnd();
  });
  CHECK(httpCall(port(), {.Path = "/raw-again"}).Body == "first");
  const client_response Response =
      httpCall(port(), {.Path = "/raw-again?second"});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == "second");
}

// A second copy that arrives while the connection is idle ends its use.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_secondCopyWhileIdle_connectionNotUsedAgain") {
  std::atomic<int> Connections = 0;
  addScriptedTarget([&](scripted_connection &Connection) {
    ++Connections;
    const std::string Only = response("200 OK", attemptIdOf(Connection), "own");
    Connection.send(Only + Only);
    Connection.readToEnd();
  });
  for (int Count = 0; Count < 5; ++Count)
    CHECK(httpCall(port(), {.Path = "/raw-again"}).Body == "own");
  CHECK(Connections.load() == 5);
}

// Guards against a response without a length that is reset halfway.
TEST_CASE_FIXTURE(faulty_target_fixture,
                  "node_unsizedResponseReset_finalChunkNotSent") {
  addScriptedTarget([](scripted_connection &Connection) {
    Connection.send("HTTP/1.1 200 OK\r\nPeridot-Attempt-Id: " +
                    attemptIdOf(Connection) + "\r\n\r\nqueen");
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Connection.reset();
  });
  const std::string Response =
      sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\n\r\n");
  CHECK(Response.find("queen") != Response.npos);
  CHECK(!Response.ends_with("\r\n0\r\n\r\n"));
}
