#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "support/faulty_target_fixture.h"

using namespace peridot::test;

namespace {

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

/// The same for many requests at once.
struct many_endless_responses_fixture : endless_response_fixture {
  static constexpr std::size_t RequestCount = 100;
  static constexpr const char *ClosingRequest =
      "GET /raw HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n";
  /// Half of the memory of the smallest VM, which has 160 MB.
  static constexpr std::size_t MaxManyExtraKilobytes = 80U << 10U;

  /// Opens connections whose callers send a request and never read.
  void sendWithoutReading() {
    for (std::size_t Count = 0; Count < RequestCount; ++Count) {
      Unread.push_back(std::make_unique<http_connection>(port()));
      Unread.back()->send(ClosingRequest);
    }
  }

  /// Sends requests and reads what comes back.
  void sendAndRead() {
    std::vector<std::thread> Callers;
    for (std::size_t Count = 0; Count < RequestCount; ++Count)
      Callers.emplace_back([this] { sendRaw(ClosingRequest); });
    for (std::thread &Each : Callers)
      Each.join();
  }

  /// Sends the requests with \p SendAll; checks that meanwhile the node serves
  /// another service and that its memory stays bounded.
  template <typename Callable> void checkOthersServed(Callable SendAll) {
    const std::size_t Before = Nodes.front()->Process->peakMemoryKilobytes();
    std::thread Sender(SendAll);
    for (int Count = 0; Count < 20; ++Count) {
      CHECK(httpCall(port(), {.Path = "/hive"}).Status == 200);
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
    Sender.join();
    CHECK(Nodes.front()->Process->peakMemoryKilobytes() - Before <
          MaxManyExtraKilobytes);
    CHECK(BytesTaken.load() > 0);
  }

  std::vector<std::unique_ptr<http_connection>> Unread;
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

// Guards against many responses without an end at the same time: together they
// must not take the memory that the requests of other callers need.
TEST_CASE_FIXTURE(many_endless_responses_fixture,
                  "node_manyUnboundedHeads_othersServedWithBoundedMemory") {
  respondEndlessly("HTTP/1.1 200 OK\r\n", "X-Filler: bees\r\n");
  checkOthersServed([this] { sendAndRead(); });
}

TEST_CASE_FIXTURE(many_endless_responses_fixture,
                  "node_manyUnboundedBodies_othersServedWithBoundedMemory") {
  respondEndlessly(ChunkedHead, "4\r\nbees\r\n");
  checkOthersServed([this] { sendAndRead(); });
}

TEST_CASE_FIXTURE(many_endless_responses_fixture,
                  "node_manyUnboundedTrailers_othersServedWithBoundedMemory") {
  respondEndlessly(ChunkedHead + "5\r\nqueen\r\n0\r\n", "X-Filler: bees\r\n");
  checkOthersServed([this] { sendAndRead(); });
}

// A declared length that the body exceeds: the rest is not read.
TEST_CASE_FIXTURE(many_endless_responses_fixture,
                  "node_manyBodiesBeyondLength_othersServedWithBoundedMemory") {
  respondEndlessly("HTTP/1.1 200 OK\r\nPeridot-Attempt-Id: ID\r\n"
                   "Content-Length: 5\r\n\r\n",
                   "bees and queens ");
  checkOthersServed([this] { sendAndRead(); });
}

// The callers do not read: what the node has not passed on stays at the target.
TEST_CASE_FIXTURE(
    many_endless_responses_fixture,
    "node_manyUnboundedBodiesUnread_othersServedWithBoundedMemory") {
  respondEndlessly(ChunkedHead, "4\r\nbees\r\n");
  checkOthersServed([this] { sendWithoutReading(); });
}
