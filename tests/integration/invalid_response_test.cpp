#include <atomic>
#include <thread>
#include <vector>

#include <doctest/doctest.h>

#include "support/faulty_target_fixture.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Start of a response's head, after whose attempt id more fields may follow.
std::string headStart(const std::string &StatusLine, const std::string &Id) {
  return StatusLine + "\r\nPeridot-Attempt-Id: " + Id + "\r\n";
}

/// Whether the received bytes contain the end of a body in chunks.
bool hasLastChunk(const std::string &Received) {
  return Received.find("\r\n0\r\n") != Received.npos;
}

struct invalid_response_fixture : faulty_target_fixture {
  /// Checks that the response to a request of \p Path says nothing but that the
  /// target failed.
  void checkTargetFailed(const std::string &Path) {
    const client_response Response = httpCall(port(), {.Path = Path});
    INFO(Response.Error);
    CHECK(Response.Status == 502);
    const auto Outcome = Response.Fields.find("peridot-outcome");
    CHECK((Outcome != Response.Fields.end() && Outcome->second == "unknown"));
  }
};

/// Uploads of which the target reads the start, while the node waits to write
/// the rest.
struct cut_upload_fixture : invalid_response_fixture {
  /// More than the buffers of the kernel take on the way to the target.
  static constexpr std::size_t UploadBytes = 8U << 20U;
  static constexpr std::chrono::milliseconds FillTime{500};

  /// Sends an upload and returns all that the caller receives.
  std::string upload() {
    http_connection Caller(port());
    std::thread Sender([&] {
      Caller.send("POST /raw-upload HTTP/1.1\r\nHost: fleet\r\n"
                  "Content-Length: " +
                  std::to_string(UploadBytes) + "\r\n\r\n" +
                  std::string(UploadBytes, 'b'));
    });
    const std::string Received = Caller.receiveUntil("\r\n0\r\n");
    Caller.shutDownSending();
    Sender.join();
    return Received;
  }

  /// The target responds and ends the connection with \p End before the node
  /// sees either.
  template <typename Callable> void respondAndEnd(Callable End) {
    addScriptedTarget([this, End](scripted_connection &Connection) {
      std::this_thread::sleep_for(FillTime);
      Nodes.front()->Process->signal(SIGSTOP);
      Connection.send(headStart("HTTP/1.1 200 OK", attemptIdOf(Connection)) +
                      "\r\nqueen");
      End(Connection);
      Nodes.front()->Process->signal(SIGCONT);
    });
  }
};

} // namespace

// Guards against a response that ends with the connection and is cut by a reset
// while the upload is written: the failed write takes the error of the socket,
// and the next read reports a regular end.
TEST_CASE_FIXTURE(cut_upload_fixture,
                  "node_unsizedResponseResetDuringUpload_notComplete") {
  respondAndEnd([](scripted_connection &Connection) { Connection.reset(); });
  const std::string Received = upload();
  INFO(Received);
  CHECK(Received.starts_with("HTTP/1.1 502"));
  CHECK(!hasLastChunk(Received));
}

// A target that ends the connection while the request is sent has not read all
// of it, so that nothing tells the end of its response from a failure.
TEST_CASE_FIXTURE(cut_upload_fixture,
                  "node_unsizedResponseClosedDuringUpload_notComplete") {
  respondAndEnd(
      [](scripted_connection &Connection) { Connection.endSending(); });
  const std::string Received = upload();
  INFO(Received);
  CHECK(Received.starts_with("HTTP/1.1 502"));
  CHECK(!hasLastChunk(Received));
}

// Guards against statuses that the parser accepts or misreads: none of them
// must reach the caller.
TEST_CASE_FIXTURE(invalid_response_fixture,
                  "node_invalidStatus_refusedAsTargetFailed") {
  std::string StatusLine;
  addScriptedTarget([&](scripted_connection &Connection) {
    Connection.send(headStart(StatusLine, attemptIdOf(Connection)) +
                    "Content-Length: 5\r\n\r\nqueen");
  });
  for (const char *Status : {"000", "001", "099", "99", "101", "600", "999",
                             "1000", "20x", "abc", "-20", ""}) {
    StatusLine = "HTTP/1.1 " + std::string(Status) + " OK";
    INFO(StatusLine);
    checkTargetFailed("/raw");
  }
}

TEST_CASE_FIXTURE(invalid_response_fixture,
                  "node_invalidStatusOfRepeatable_servedByOtherTarget") {
  std::atomic<int> Requests = 0;
  const auto Script = [&](scripted_connection &Connection) {
    const std::string Id = attemptIdOf(Connection);
    Connection.send(response(++Requests == 1 ? "000 OK" : "200 OK", Id, "own"));
  };
  addScriptedTarget(Script, 2);
  const client_response Response = httpCall(port(), {.Path = "/raw-again"});
  CHECK(Response.Status == 200);
  CHECK(Response.Body == "own");
  CHECK(Requests.load() == 2);
}

// Guards against an interim response whose status is broken: what follows it
// must not be taken for the response.
TEST_CASE_FIXTURE(invalid_response_fixture,
                  "node_invalidInterimStatus_refusedAsTargetFailed") {
  std::string Interim;
  addScriptedTarget([&](scripted_connection &Connection) {
    const std::string Id = attemptIdOf(Connection);
    Connection.send("HTTP/1.1 " + Interim + "\r\nPeridot-Attempt-Id: " + Id +
                    "\r\n\r\n" + response("200 OK", Id, "queen"));
  });
  for (const char *Status : {"000 Continue", "010 Continue", "10 Continue",
                             "1000 Continue", "1x0 Continue", "101 Switching",
                             "100 Continue\r\n\r\nHTTP/1.1 000 OK"}) {
    Interim = Status;
    INFO(Interim);
    checkTargetFailed("/raw");
  }
}

TEST_CASE_FIXTURE(invalid_response_fixture,
                  "node_resetAfterLastChunkSize_finalChunkNotSent") {
  addScriptedTarget([&](scripted_connection &Connection) {
    Connection.send(headStart("HTTP/1.1 200 OK", attemptIdOf(Connection)) +
                    "Transfer-Encoding: chunked\r\n\r\n5\r\nqueen\r\n0\r\n");
    std::this_thread::sleep_for(50ms);
    Connection.reset();
  });
  CHECK(!hasLastChunk(sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\n\r\n")));
}

// Guards against the version of a target in the response to the caller: a
// client of HTTP/1.0 knows no chunks and takes a cut response for complete.
TEST_CASE_FIXTURE(invalid_response_fixture,
                  "node_responseOfEarlierVersion_forwardedWithOwnVersion") {
  addScriptedTarget([&](scripted_connection &Connection) {
    Connection.send(headStart("HTTP/1.0 200 OK", attemptIdOf(Connection)) +
                    "\r\nqueen");
  });
  const std::string Received =
      sendRaw("GET /raw HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
  CHECK(Received.starts_with("HTTP/1.1 200"));
  CHECK(hasLastChunk(Received));
}
