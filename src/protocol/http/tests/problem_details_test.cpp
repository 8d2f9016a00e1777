#include "protocol/http/problem_details.h"

#include <doctest/doctest.h>

#include "protocol/http/header_rules.h"

using namespace peridot;

TEST_CASE("encodeProblem_refusal_hasKindRemedyAndOutcome") {
  const std::string Json =
      encodeProblem({.Kind = refusal_kind::RateExceeded, .Detail = "d"});
  CHECK(Json.find("urn:peridot:problem:rate-exceeded") != std::string::npos);
  CHECK(Json.find(R"("outcome":"not-run")") != std::string::npos);
  CHECK(Json.find("send fewer requests") != std::string::npos);
}

TEST_CASE("removeHopByHopFields_fieldsNamedByConnection_removed") {
  boost::beast::http::fields Fields;
  Fields.set("Connection", "close, X-Private");
  Fields.set("X-Private", "1");
  Fields.set("X-Kept", "1");
  Fields.set("Content-Length", "4");
  Fields.set("Peridot-Key", "secret");
  removeHopByHopFields(Fields);
  removeCredentials(Fields, nativeDialect());
  CHECK(Fields.count("X-Private") == 0);
  CHECK(Fields.count("Connection") == 0);
  CHECK(Fields.count("Peridot-Key") == 0);
  CHECK(Fields.count("X-Kept") == 1);
  CHECK(Fields.count("Content-Length") == 1);
}

TEST_CASE("prepareForTarget_forgedFields_replaced") {
  boost::beast::http::fields Fields;
  Fields.set("Peridot-Account", "forged");
  Fields.insert("Peridot-Account", "again");
  Fields.set("Peridot-Deadline-Ms", "1");
  Fields.set("Expect", "100-continue");
  prepareForTarget(
      Fields, nativeDialect(),
      {.Account = "keepers", .TimeLeft = std::chrono::milliseconds(250)});
  CHECK(Fields.count("Peridot-Account") == 1);
  CHECK(Fields["Peridot-Account"] == "keepers");
  CHECK(Fields["Peridot-Deadline-Ms"] == "250");
  CHECK(Fields.count("Expect") == 0);
  prepareForTarget(Fields, nativeDialect(), {});
  CHECK(Fields.count("Peridot-Account") == 0);
}

TEST_CASE("nativeDialect_targetReportFields_onlyValidValuesRead") {
  boost::beast::http::fields Fields;
  Fields.set("Peridot-Target-State", "Shed");
  Fields.set("Peridot-Target-Load", "0.25");
  CHECK(nativeDialect().ReadReport(Fields, 503).Shed);
  CHECK(!nativeDialect().ReadReport(Fields, 200).Shed);
  CHECK(nativeDialect().ReadReport(Fields, 200).Load == 0.25);
  Fields.set("Peridot-Target-State", "draining");
  CHECK(nativeDialect().ReadReport(Fields, 200).Draining);
  for (const char *Load : {"", "1.5", "-0.1", "0.5x", "nan"}) {
    Fields.set("Peridot-Target-Load", Load);
    CHECK(nativeDialect().ReadReport(Fields, 200).Load == -1);
  }
  prepareForCaller(Fields, nativeDialect());
  CHECK(Fields.count("Peridot-Target-State") == 0);
}
