#include "protocol/http/problem_details.h"

#include <doctest/doctest.h>

#include "protocol/http/header_rules.h"

using namespace peridot;

TEST_CASE("encodeProblem_refusal_namesKindRemedyAndOutcome") {
  const std::string Json =
      encodeProblem({.Kind = refusal_kind::RateExceeded, .Detail = "d"});
  CHECK(Json.find("urn:peridot:problem:rate-exceeded") != std::string::npos);
  CHECK(Json.find(R"("outcome":"not-run")") != std::string::npos);
  CHECK(Json.find("slow down") != std::string::npos);
}

TEST_CASE("removeHopByHopFields_fieldsNamedByConnection_removed") {
  boost::beast::http::fields Fields;
  Fields.set("Connection", "close, X-Private");
  Fields.set("X-Private", "1");
  Fields.set("X-Kept", "1");
  Fields.set("Content-Length", "4");
  Fields.set("Peridot-Key", "secret");
  removeHopByHopFields(Fields);
  removeSecrets(Fields);
  CHECK(Fields.count("X-Private") == 0);
  CHECK(Fields.count("Connection") == 0);
  CHECK(Fields.count("Peridot-Key") == 0);
  CHECK(Fields.count("X-Kept") == 1);
  CHECK(Fields.count("Content-Length") == 1);
}
