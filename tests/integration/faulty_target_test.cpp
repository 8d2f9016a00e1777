#include <atomic>
#include <fstream>
#include <thread>

#include <doctest/doctest.h>

#include "support/caller_fixture.h"
#include "support/scripted_target.h"

using namespace peridot::test;

namespace {

/// Adds the routes /raw (not repeatable) and /raw-again (repeatable), both with
/// a deadline of 1 s; their only target is scripted and must return the id of
/// the attempt.
struct faulty_target_fixture : caller_fixture {
  void addScriptedTarget(scripted_target::script Script) {
    Scripted = std::make_unique<scripted_target>(
        [Run = std::move(Script)](scripted_connection &Connection) {
          if (!Connection.readUntil("\r\n\r\n"))
            return;
          if (Connection.received().starts_with("OPTIONS"))
            Connection.send(NoContent);
          else
            Run(Connection);
        });
    std::ofstream(folder() + "/services/raw.toml")
        << "service = \"raw\"\nechoes_attempt_id = true\n"
           "[[route]]\npath = \"/raw\"\nopen = true\ndeadline_ms = 1000\n"
           "[[route]]\npath = \"/raw-again\"\nopen = true\n"
           "repeatable = true\ndeadline_ms = 1000\n"
           "[[target]]\nname = \"raw-1\"\ndata_center = \"lakes-a\"\n"
           "address = \"127.0.0.1\"\nport = "
        << Scripted->port() << "\n";
    publish("scripted target");
    awaitRevision(2);
    awaitCondition("the route /raw in the traffic threads", [&] {
      return httpCall(port(), {.Method = "OPTIONS", .Path = "/raw"}).Status !=
             404;
    });
  }

  /// Returns the attempt id of the last request that was received.
  static std::string attemptIdOf(const scripted_connection &Connection) {
    const std::string Field = "Peridot-Attempt-Id: ";
    const std::string &Received = Connection.received();
    const std::size_t Start = Received.rfind(Field) + Field.size();
    return Received.substr(Start, Received.find("\r\n", Start) - Start);
  }

  static std::string response(const std::string &Status, const std::string &Id,
                              const std::string &Body) {
    return "HTTP/1.1 " + Status + "\r\nPeridot-Attempt-Id: " + Id +
           (Status.starts_with("503") ? "\r\nPeridot-Target-State: shed" : "") +
           "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
           Body;
  }

  static constexpr const char *NoContent =
      "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n";
  std::unique_ptr<scripted_target> Scripted;
};

/// The scripted target responds to GET requests with bytes that never end.
struct endless_response_fixture : faulty_target_fixture {
  /// More than the node may read before it closes the connection, including the
  /// buffers of the kernel on both sides.
  static constexpr std::size_t MaxBytesTaken = 32U << 20U;
  /// The memory that the node may need in addition to read such a response.
  static constexpr std::size_t MaxExtraKilobytes = 16U << 10U;

  void respondEndlessly(const std::string &Start, const std::string &Part) {
    std::string Parts;
    while (Parts.size() < 60'000)
      Parts += Part;
    addScriptedTarget([this, Start, Parts](scripted_connection &Connection) {
      std::string Head = Start;
      if (const std::size_t Id = Head.find("ID"); Id != Head.npos)
        Head.replace(Id, 2, attemptIdOf(Connection));
      Connection.send(Head);
      while (BytesTaken < 4 * MaxBytesTaken && Connection.send(Parts))
        BytesTaken += Parts.size();
    });
  }

  /// Sends one request; checks that the node stops reading early, needs little
  /// memory and claims nothing about the request.
  void checkRefusedEarly() {
    const std::size_t Before = Nodes.front()->Process->peakMemoryKilobytes();
    const client_response Response = httpCall(port(), {.Path = "/raw"});
    CHECK(Response.Status >= 502);
    CHECK(Response.Fields.at("peridot-outcome") == "unknown");
    CHECK(BytesTaken.load() < MaxBytesTaken);
    CHECK(Nodes.front()->Process->peakMemoryKilobytes() - Before <
          MaxExtraKilobytes);
  }

  /// Sends one request; checks that the node closes the connection early, needs
  /// little memory and does not mark the response as complete.
  void checkClosedEarly() {
    const std::size_t Before = Nodes.front()->Process->peakMemoryKilobytes();
    const std::string Response =
        sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\n\r\n");
    CHECK(!Response.ends_with("\r\n0\r\n\r\n"));
    CHECK(BytesTaken.load() < MaxBytesTaken);
    CHECK(Nodes.front()->Process->peakMemoryKilobytes() - Before <
          MaxExtraKilobytes);
  }

  std::atomic<std::size_t> BytesTaken = 0;
};

const std::string ChunkedHead = "HTTP/1.1 200 OK\r\nPeridot-Attempt-Id: ID\r\n"
                                "Transfer-Encoding: chunked\r\n\r\n";

} // namespace

// Guards against a target that sends a response without an end, in the head or
// in the framing of the body, and fills the node's memory.
TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedResponseStartLine_refusedEarly") {
  respondEndlessly("", "no response at all ");
  checkRefusedEarly();
}

TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedResponseHead_refusedEarly") {
  respondEndlessly("HTTP/1.1 200 OK\r\n", "X-Filler: bees\r\n");
  checkRefusedEarly();
}

TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedInterimResponses_refusedEarly") {
  respondEndlessly("", "HTTP/1.1 100 Continue\r\n\r\n");
  checkRefusedEarly();
}

TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedChunkExtension_connectionClosedEarly") {
  respondEndlessly(ChunkedHead + "5;x=", "bees");
  checkClosedEarly();
}

TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedTrailer_connectionClosedEarly") {
  respondEndlessly(ChunkedHead + "5\r\nqueen\r\n0\r\n", "X-Filler: bees\r\n");
  checkClosedEarly();
}

// A body without an end is passed on, with bounded memory, until the deadline.
TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedBody_cutOffAtDeadlineWithBoundedMemory") {
  respondEndlessly(ChunkedHead, "4\r\nbees\r\n");
  const std::size_t Before = Nodes.front()->Process->peakMemoryKilobytes();
  const auto Start = std::chrono::steady_clock::now();
  const std::string Response =
      sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\n\r\n");
  CHECK(std::chrono::steady_clock::now() - Start < std::chrono::seconds(2));
  CHECK(!Response.ends_with("\r\n0\r\n\r\n"));
  CHECK(Nodes.front()->Process->peakMemoryKilobytes() - Before <
        MaxExtraKilobytes);
}

// Guards against a response to an earlier request that never ends: it is
// discarded, and must not be collected in memory.
TEST_CASE_FIXTURE(endless_response_fixture,
                  "node_unboundedStaleResponse_refusedEarly") {
  addScriptedTarget([this](scripted_connection &Connection) {
    Connection.send(response("200 OK", attemptIdOf(Connection), "first"));
    if (!Connection.readUntil("GET /raw-again?second"))
      return;
    Connection.send("HTTP/1.1 200 OK\r\nPeridot-Attempt-Id: earlier\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n");
    const std::string Part = "ea60\r\n" + std::string(60'000, 'b') + "\r\n";
    while (BytesTaken < 4 * MaxBytesTaken && Connection.send(Part))
      BytesTaken += Part.size();
  });
  const std::size_t Before = Nodes.front()->Process->peakMemoryKilobytes();
  CHECK(httpCall(port(), {.Path = "/raw-again"}).Status == 200);
  httpCall(port(), {.Path = "/raw-again?second"});
  CHECK(BytesTaken.load() > 0);
  CHECK(BytesTaken.load() < MaxBytesTaken);
  CHECK(Nodes.front()->Process->peakMemoryKilobytes() - Before <
        MaxExtraKilobytes);
}

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
