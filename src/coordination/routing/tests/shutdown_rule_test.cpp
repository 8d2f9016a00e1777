#include "coordination/routing/shutdown_rule.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/// A shutdown whose requests get their responses within six seconds.
struct shutdown_rule_fixture {
  bool isAccepted(duration After, const request_duration &Request) const {
    return endsBeforeShutdown(Request, Shutdown, Shutdown.BeganAt + After);
  }

  shutdown_schedule Shutdown{.BeganAt = instant(100s),
                             .AddressesEndAt = instant(103s),
                             .IdleClosesAt = instant(105s),
                             .AnswersAt = instant(106s),
                             .EndsAt = instant(107s)};
};

} // namespace

// Guards against a process that is killed with requests at work, as it counts
// its time from when it handled the signal.
TEST_CASE("scheduleShutdown_signalHandledLate_endsBeforeTheKill") {
  const instant SentAt(100s);
  const shutdown_schedule Shutdown = scheduleShutdown(SentAt + 200ms, 6s, 3s);
  CHECK(Shutdown.EndsAt < SentAt + 6s);
  CHECK(Shutdown.IdleClosesAt < Shutdown.AnswersAt);
  CHECK(Shutdown.AnswersAt < Shutdown.EndsAt);
  CHECK(Shutdown.IdleClosesAt > SentAt + 5s);
}

TEST_CASE_FIXTURE(shutdown_rule_fixture,
                  "endsBeforeShutdown_timeoutFits_acceptedUntilItDoesNot") {
  CHECK(isAccepted(0s, {.Timeout = 2s}));
  CHECK(isAccepted(4s, {.Timeout = 2s}));
  CHECK(!isAccepted(4001ms, {.Timeout = 2s}));
}

TEST_CASE_FIXTURE(shutdown_rule_fixture,
                  "endsBeforeShutdown_longTimeoutShortLatency_firstHalfOnly") {
  const request_duration Request{.Timeout = 8s, .Typical = 200ms};
  CHECK(isAccepted(1s, Request));
  CHECK(!isAccepted(3s, Request));
}

TEST_CASE_FIXTURE(shutdown_rule_fixture,
                  "endsBeforeShutdown_latencyUnknownOrLong_refused") {
  CHECK(!isAccepted(1s, {.Timeout = 8s}));
  CHECK(!isAccepted(1s, {.Timeout = 8s, .Typical = 900ms}));
}

// Guards against requests that wait until the process ends, which cuts them off
// without an answer.
TEST_CASE_FIXTURE(shutdown_rule_fixture,
                  "mayWait_connectionsAboutToClose_refused") {
  CHECK(mayWait(Shutdown, Shutdown.IdleClosesAt - 1ms));
  CHECK(!mayWait(Shutdown, Shutdown.IdleClosesAt));
}

// Guards against a process that gets no processor until its end and then cuts
// off the requests that it still holds.
TEST_CASE_FIXTURE(shutdown_rule_fixture,
                  "endAfterRefusals_stoodStillPastEnd_timeLeftToDeliver") {
  CHECK(endAfterRefusals(Shutdown, Shutdown.AnswersAt) == Shutdown.EndsAt);
  CHECK(endAfterRefusals(Shutdown, Shutdown.EndsAt) == Shutdown.EndsAt + 1s);
}

// Guards against requests that are sent after callers have stopped using the
// addresses, are accepted by their typical latency, and are broken off at the
// end.
TEST_CASE("endsBeforeShutdown_longLimitAfterAddressLifetime_timeoutCounts") {
  const instant SentAt(100s);
  const shutdown_schedule Shutdown = scheduleShutdown(SentAt, 20s, 3s);
  const request_duration Request{.Timeout = 30s, .Typical = 200ms};
  CHECK(endsBeforeShutdown(Request, Shutdown, SentAt + 2900ms));
  CHECK(!endsBeforeShutdown(Request, Shutdown, SentAt + 3100ms));
}
