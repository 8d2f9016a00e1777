#include "coordination/limits/rate_wait.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct rate_wait_fixture {
  const instant Start{1h};
  rate_wait Wait{Start};
  rate_refused Refused{
      .ShareRequested = true, .WaitLimit = 500ms, .RepeatInterval = 150ms};
};

} // namespace

TEST_CASE_FIXTURE(rate_wait_fixture, "request_shareDenied_stopsWaiting") {
  CHECK(Wait.shouldContinue(Refused, Start + 4ms));
  Refused.ShareRequested = false;
  CHECK_FALSE(Wait.shouldContinue(Refused, Start + 4ms));
}

TEST_CASE_FIXTURE(rate_wait_fixture, "request_noResponse_waitsUntilLimit") {
  CHECK(Wait.shouldContinue(Refused, Start + 499ms));
  CHECK_FALSE(Wait.shouldContinue(Refused, Start + 500ms));
}

TEST_CASE_FIXTURE(rate_wait_fixture, "request_noResponse_repeatsEachPeriod") {
  CHECK(Wait.nextCheck(Refused, Start + 149ms) == rate_check::Poll);
  CHECK(Wait.nextCheck(Refused, Start + 150ms) == rate_check::Repeat);
  CHECK(Wait.nextCheck(Refused, Start + 154ms) == rate_check::Poll);
  CHECK(Wait.nextCheck(Refused, Start + 300ms) == rate_check::Repeat);
}
