#include <doctest/doctest.h>

#include "support/caller_fixture.h"

using namespace peridot::test;

namespace {

struct caller_framing_fixture : caller_fixture {
  /// Sends \p Bytes and checks that the node refuses them with \p Status and
  /// that no target runs the request.
  void checkRefused(const std::string &Bytes, const std::string &Status) {
    const std::string Response = sendRaw(Bytes);
    CAPTURE(Bytes.substr(0, 200));
    CHECK(Response.starts_with("HTTP/1.1 " + Status));
    CHECK(Response.find("application/problem+json") != Response.npos);
    CHECK(Response.find("Peridot-Outcome: not-run") != Response.npos);
    CHECK(Response.ends_with("}"));
    CHECK(Response.find("}HTTP/1.1") == Response.npos);
    CHECK(target().executions() == "[]");
  }

  static std::string post(const std::string &Fields, const std::string &Body) {
    return "POST /hive HTTP/1.1\r\nHost: fleet\r\n" + Fields + "\r\n" + Body;
  }
};

} // namespace

TEST_CASE_FIXTURE(caller_framing_fixture, "node_malformedOrAmbiguousHead_400") {
  const std::string Smuggled = "0\r\n\r\nGET /hive HTTP/1.1\r\nHost: a\r\n\r\n";
  checkRefused(
      post("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", Smuggled),
      "400");
  checkRefused(post("Content-Length: 5\r\nContent-Length: 6\r\n", "abcdef"),
               "400");
  checkRefused(post("Transfer-Encoding: chunked, identity\r\n", Smuggled),
               "400");
  checkRefused(post("X-A: 1\r\n folded\r\n", ""), "400");
  checkRefused("GET /hive HTTP/1.1\nHost: fleet\n\n", "400");
  checkRefused("GET /hive HTTP/1.1\r\n\r\n", "400");
  checkRefused(post("Host: other\r\n", ""), "400");
  checkRefused("GET http://fleet/hive HTTP/1.1\r\nHost: fleet\r\n\r\n", "400");
  checkRefused("GET /hive/../once HTTP/1.1\r\nHost: fleet\r\n\r\n", "400");
  checkRefused(post("X-A: \x01\r\n", ""), "400");
}

TEST_CASE_FIXTURE(caller_framing_fixture, "node_malformedChunk_400") {
  checkRefused(post("Transfer-Encoding: chunked\r\n", "zz\r\nabc\r\n"), "400");
  checkRefused(post("Transfer-Encoding: chunked\r\n", "3\nabc\r\n0\r\n\r\n"),
               "400");
  checkRefused(post("Transfer-Encoding: chunked\r\n", "3\r\nabcX0\r\n\r\n"),
               "400");
}

TEST_CASE_FIXTURE(caller_framing_fixture, "node_headAboveLimit_431") {
  checkRefused(post("X-A: " + std::string(20'000, 'a') + "\r\n", ""), "431");
}

TEST_CASE_FIXTURE(caller_framing_fixture, "node_contentLengthAboveLimit_413") {
  const std::string Line = "POST /small HTTP/1.1\r\nHost: fleet\r\n";
  checkRefused(Line + "Content-Length: 65537\r\n\r\n", "413");
  // The declared length is refused before a body is requested.
  checkRefused(
      Line + "Content-Length: 99999999\r\nExpect: 100-continue\r\n\r\n", "413");
}

TEST_CASE_FIXTURE(caller_framing_fixture,
                  "node_chunkedBodyAboveLimit_413WithUnknownOutcome") {
  const std::string Chunk = "4000\r\n" + std::string(0x4000, 'a') + "\r\n";
  std::string Bytes = "POST /small HTTP/1.1\r\nHost: fleet\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n";
  for (int Count = 0; Count < 5; ++Count)
    Bytes += Chunk;
  const std::string Response = sendRaw(Bytes + "0\r\n\r\n");
  CHECK(Response.starts_with("HTTP/1.1 413"));
  CHECK(Response.find("Peridot-Outcome: unknown") != Response.npos);
  CHECK(target().executions() == "[]");
}

TEST_CASE_FIXTURE(caller_framing_fixture,
                  "node_expectContinue_100ThenResponse") {
  const std::string Response =
      sendRaw(post("Content-Length: 4\r\nExpect: 100-continue\r\n"
                   "Connection: close\r\n",
                   "bees"));
  CHECK(Response.starts_with("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200"));
  CHECK(Response.ends_with("\r\n\r\nbees"));
}

TEST_CASE_FIXTURE(caller_framing_fixture,
                  "node_headRequest_contentLengthWithoutBody") {
  target().setBehaviour("answer_bytes=1000");
  const std::string Response = sendRaw("HEAD /hive HTTP/1.1\r\nHost: fleet\r\n"
                                       "Connection: close\r\n\r\n");
  CHECK(Response.starts_with("HTTP/1.1 200"));
  CHECK(Response.find("Content-Length: 1000") != Response.npos);
  CHECK(Response.ends_with("\r\n\r\n"));
}

TEST_CASE_FIXTURE(caller_framing_fixture, "node_headRequestRefused_noBody") {
  const std::string Response =
      sendRaw("HEAD /nowhere HTTP/1.1\r\nHost: fleet\r\n"
              "Connection: close\r\n\r\n");
  CHECK(Response.starts_with("HTTP/1.1 404"));
  CHECK(Response.ends_with("\r\n\r\n"));
}

TEST_CASE_FIXTURE(caller_framing_fixture,
                  "node_pipelinedRequests_responsesInOrder") {
  const std::string Response = sendRaw(
      post("Content-Length: 1\r\n", "1") + post("Content-Length: 1\r\n", "2") +
      post("Content-Length: 1\r\nConnection: close\r\n", "3"));
  const std::size_t First = Response.find("\r\n\r\n1");
  const std::size_t Second = Response.find("\r\n\r\n2", First);
  CHECK(First < Second);
  CHECK(Response.ends_with("\r\n\r\n3"));
}
