#include "protocol/operator_documents/log_lines.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct log_line_fixture {
  const std::string Line =
      R"({"time":"2026-02-09T11:07:01.424Z","level":"info","vm":"vm-1",)"
      R"("event":"attempt-ended","request":"621e","status":500,)"
      R"("repeatable":false})";
};

} // namespace

TEST_CASE_FIXTURE(log_line_fixture, "decodeLogLine_completeLine_fieldsAsText") {
  const auto Read = decodeLogLine(Line);
  REQUIRE(Read);
  CHECK(Read->Vm == "vm-1");
  CHECK(Read->Event == "attempt-ended");
  CHECK(Read->field("request") == "621e");
  CHECK(Read->field("status") == "500");
  CHECK(Read->field("repeatable") == "false");
  CHECK(Read->field("target").empty());
  using namespace std::chrono;
  CHECK(Read->At == sys_days(2026y / February / 9) + 11h + 7min + 1s + 424ms);
}

TEST_CASE_FIXTURE(log_line_fixture, "decodeLogLine_collectorPrefix_skipped") {
  const auto Read = decodeLogLine("  23.42 vm-1 " + Line);
  REQUIRE(Read);
  CHECK(Read->field("request") == "621e");
}

TEST_CASE_FIXTURE(log_line_fixture,
                  "decodeLogLine_truncatedOrOtherText_nullopt") {
  CHECK_FALSE(decodeLogLine(Line.substr(0, Line.size() / 2)));
  CHECK_FALSE(decodeLogLine("started"));
  CHECK_FALSE(decodeLogLine("{}"));
  CHECK_FALSE(decodeLogLine(R"({"time":"yesterday","event":"listening"})"));
}
