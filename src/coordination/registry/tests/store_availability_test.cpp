#include "coordination/registry/store_availability.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct store_availability_fixture {
  /// Lets responses to this VM arrive every 500 ms.
  void respondFor(duration Time) {
    for (const instant End = Now + Time; Now < End; Now += 500ms)
      Availability.recordResponse(Now);
  }

  const instant Start{100s};
  instant Now = Start;
  store_availability Availability;
};

} // namespace

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_noResponse_unavailable") {
  CHECK(!Availability.availableSince(Now));
}

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_regularResponses_sinceFirst") {
  respondFor(10s);
  CHECK(Availability.availableSince(Now) == Start);
}

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_noResponseForSilenceLimit_unavailable") {
  respondFor(10s);
  CHECK(!Availability.availableSince(Now + 1s));
}

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_responseAfterOutage_sinceThatResponse") {
  respondFor(10s);
  Now += 5s;
  Availability.recordResponse(Now);
  CHECK(Availability.availableSince(Now) == Now);
}

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_onlyThisVmCutOff_sinceFirstResponse") {
  respondFor(10s);
  for (int Report = 0; Report < 20; ++Report, Now += 500ms)
    Availability.recordReport(1s, Now);
  CHECK(Availability.availableSince(Now) == Start);
}

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_reportAfterIsolation_sinceReportedStart") {
  respondFor(10s);
  Now += 30s;
  Availability.recordResponse(Now);
  Availability.recordReport(40s, Now);
  CHECK(Availability.availableSince(Now) == Start);
}

TEST_CASE_FIXTURE(store_availability_fixture,
                  "availableSince_watchersReplaced_interruptionIgnored") {
  respondFor(10s);
  Now += 1'300ms;
  Availability.recordResponse(Now);
  CHECK(Availability.availableSince(Now) == Start);
}
