#include "state/burn/burn_ledger.h"

#include <doctest/doctest.h>

#include "state/burn/request_series.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct burn_fixture {
  burn_ledger Ledger;
  burn_subject Subject{service_name("hive"), account_name("keepers")};
  instant Start = instant{} + 10h;
};

} // namespace

TEST_CASE_FIXTURE(burn_fixture,
                  "read_requestsOfDifferentAge_countedInMatchingWindows") {
  Ledger.add(Subject, {.Good = 1}, Start);
  Ledger.add(Subject, {.Good = 2}, Start + 30min);
  Ledger.add(Subject, {.Good = 3, .Bad = 1}, Start + 58min);
  const auto Rows = Ledger.read(Start + 60min);
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Totals[0] == request_totals{3, 1});
  CHECK(Rows[0].Totals[1] == request_totals{5, 1});
  CHECK(Rows[0].Totals[2] == request_totals{6, 1});
  CHECK(Ledger.read(Start + 7h).empty());
}

TEST_CASE_FIXTURE(burn_fixture,
                  "add_slotReusedAfterSixHours_oldMinuteDropped") {
  Ledger.add(Subject, {.Bad = 9}, Start);
  Ledger.add(Subject, {.Good = 1}, Start + 6h);
  CHECK(Ledger.read(Start + 6h).at(0).Totals[2] == request_totals{1, 0});
}

TEST_CASE("evaluateBurnRate_errorRatesByWindow_fastSlowOrNone") {
  const request_totals Twenty{980, 20};
  const request_totals Ten{990, 10};
  CHECK(burnRate(Twenty, 0.999) == doctest::Approx(20));
  CHECK(evaluateBurnRate({Twenty, Twenty, {1000, 0}}, 0.999) ==
        burn_alert::Fast);
  CHECK(evaluateBurnRate({Ten, Ten, Ten}, 0.999) == burn_alert::Slow);
  CHECK(evaluateBurnRate({Twenty, {1000, 0}, {1000, 0}}, 0.999) ==
        burn_alert::None);
}

TEST_CASE_FIXTURE(burn_fixture,
                  "parseRequestLabels_formattedLabels_roundTrip") {
  const auto Series =
      parseRequestLabels(requestLabels(Subject, request_end::NotRun));
  REQUIRE(Series);
  CHECK(Series->Subject == Subject);
  CHECK(Series->End == request_end::NotRun);
  CHECK_FALSE(parseRequestLabels("kind=\"x\""));
}

// Guards against names that the encoding of the labels changes.
TEST_CASE("parseRequestLabels_quotesInNames_roundTrip") {
  const burn_subject Quoted{service_name("a\"b\\"),
                            account_name("c\",outcome=\"x\n")};
  const auto Series =
      parseRequestLabels(requestLabels(Quoted, request_end::NotRun));
  REQUIRE(Series);
  CHECK(Series->Subject == Quoted);
  CHECK(Series->End == request_end::NotRun);
}
