#include "protocol/http/request_framing.h"

#include <string>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct head_fixture {
  /// Checks a head with a Host field and \p Fields.
  static std::optional<head_fault> withFields(const std::string &Fields) {
    return checkHead("POST /hive HTTP/1.1\r\nHost: fleet\r\n" + Fields +
                     "\r\n");
  }
  static std::optional<head_fault> withLine(const std::string &Line) {
    return checkHead(Line + "\r\nHost: fleet\r\n\r\n");
  }
};

} // namespace

TEST_CASE_FIXTURE(head_fixture, "checkHead_wellFormed_noFault") {
  CHECK(!withFields("Content-Length: 12\r\nX-Empty:\r\n"));
  CHECK(!withFields("Transfer-Encoding: Chunked\r\nExpect: 100-continue\r\n"));
  CHECK(!withLine("GET /a.b/..c/%41?q=../x HTTP/1.1"));
}

TEST_CASE_FIXTURE(head_fixture, "checkHead_ambiguousLength_fault") {
  using enum head_fault;
  CHECK(withFields("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n") ==
        ConflictingLengths);
  CHECK(withFields("Content-Length: 1\r\nContent-Length: 2\r\n") ==
        RepeatedContentLength);
  for (const char *Length :
       {"", "+1", "-1", "1, 1", "0x1", "1234567890123456789"})
    CHECK(withFields("Content-Length: " + std::string(Length) + "\r\n") ==
          BadContentLength);
  for (const char *Coding : {"", "gzip", "chunked, chunked", "xchunked"})
    CHECK(withFields("Transfer-Encoding: " + std::string(Coding) + "\r\n") ==
          BadTransferEncoding);
  CHECK(withFields("Expect: else\r\n") == BadExpectation);
}

TEST_CASE_FIXTURE(head_fixture, "checkHead_malformedFieldLine_fault") {
  using enum head_fault;
  CHECK(withFields("X-A: 1\r\n folded\r\n") == FoldedField);
  CHECK(withFields("X-A: 1\nX-B: 2\r\n") == BareLineBreak);
  CHECK(withFields("X-A: 1\rX-B: 2\r\n") == BareLineBreak);
  CHECK(withFields(std::string("X-A: \0\r\n", 8)) == ControlCharacter);
  CHECK(withFields("X-A : 1\r\n") == BadField);
  CHECK(withFields("no colon\r\n") == BadField);
  CHECK(checkHead("\r\n\r\n") == BadRequestLine);
}

TEST_CASE_FIXTURE(head_fixture, "checkHead_hostNotExactlyOnce_fault") {
  CHECK(withFields("host: other\r\n") == head_fault::RepeatedHost);
  CHECK(checkHead("GET / HTTP/1.1\r\n\r\n") == head_fault::MissingHost);
  CHECK(checkHead("GET / HTTP/1.1\r\nHost:\r\n\r\n") ==
        head_fault::MissingHost);
}

TEST_CASE_FIXTURE(head_fixture, "checkHead_malformedRequestLine_fault") {
  using enum head_fault;
  for (const char *Line : {"GET", "GET /", " / HTTP/1.1", "G(T / HTTP/1.1"})
    CHECK(withLine(Line) == BadRequestLine);
  CHECK(withLine("GET / HTTP/1.0") == UnsupportedVersion);
  for (const char *Target : {"http://a/b", "*", "a", "/a#b", "/a\\b", "/%4",
                             "/%zz", "/a b", "/\xC3\xA9"})
    CHECK(withLine("GET " + std::string(Target) + " HTTP/1.1") == BadTarget);
  for (const char *Target : {"/.", "/a/../b", "/a/..", "/%2e%2E/b", "/a/.%2fb",
                             "/a%2f..%2fb", "/a%5c..?q"})
    CHECK(withLine("GET " + std::string(Target) + " HTTP/1.1") == DotSegment);
}

TEST_CASE("findHeadEnd_partialHead_notFound") {
  CHECK(!findHeadEnd("GET / HTTP/1.1\r\nHost: a\r\n"));
  CHECK(findHeadEnd("A\r\n\r\nbody") == 5);
  CHECK(!hasBareLineBreak("GET / HTTP/1.1\r"));
  CHECK(hasBareLineBreak("GET / HTTP/1.1\n"));
}
