#include "support/run_checker.h"

#include <doctest/doctest.h>

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// A clean run of one request; each test changes records to a violation.
struct run_checker_fixture {
  run_records Records{.Executions = {{.RequestId = "r1", .Account = "keepers"}},
                      .Responses = {response("r1", 0ms, 10ms)},
                      .Envelopes = {{"keepers", 1, 2}}};

  static response_record response(const std::string &Id,
                                  std::chrono::milliseconds SentAt,
                                  std::chrono::milliseconds ReceivedAt) {
    return {.RequestId = Id,
            .Account = "keepers",
            .SentAt = run_time{} + SentAt,
            .ReceivedAt = run_time{} + ReceivedAt,
            .Status = 200,
            .EchoedRequestId = Id,
            .SentBody = "body",
            .ReceivedBody = "body"};
  }

  /// Whether the only violation found is of \p Kind.
  bool findsOnly(violation_kind Kind) const {
    const auto Found = checkRun(Records);
    return Found.size() == 1 && Found[0].Kind == Kind;
  }
};

} // namespace

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_cleanRun_noViolation") {
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(run_checker_fixture,
                  "checkRun_notRunOutcomeButExecuted_violation") {
  Records.Responses[0].Status = 503;
  Records.Responses[0].Outcome = "not-run";
  CHECK(findsOnly(violation_kind::NotRunButRan));
}

TEST_CASE_FIXTURE(run_checker_fixture,
                  "checkRun_nonRepeatableExecutedTwice_violation") {
  Records.Executions.push_back(Records.Executions[0]);
  CHECK(findsOnly(violation_kind::RanTwice));
  Records.Responses[0].IsRepeatable = true;
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_wrongIdOrBody_violation") {
  Records.Responses[0].EchoedRequestId = "r2";
  CHECK(findsOnly(violation_kind::WrongResponse));
  Records.Responses[0].EchoedRequestId = "r1";
  Records.Responses[0].ReceivedBody = "bo";
  CHECK(findsOnly(violation_kind::WrongResponse));
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_keySeenByTarget_violation") {
  Records.Executions[0].SawKey = true;
  CHECK(findsOnly(violation_kind::KeySeenByTarget));
}

TEST_CASE_FIXTURE(run_checker_fixture,
                  "checkRun_requestsAboveEnvelope_violation") {
  for (const char *Id : {"r2", "r3"}) {
    Records.Executions.push_back({.RequestId = Id, .Account = "keepers"});
    Records.Responses.push_back(response(Id, 20ms, 30ms));
  }
  CHECK(findsOnly(violation_kind::EnvelopeExceeded));
  Records.Responses[2].ReceivedAt = run_time{} + 1100ms;
  CHECK(checkRun(Records).empty());
}
