#include "support/run_checker.h"

#include <doctest/doctest.h>

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// A clean run of one request; each test forges one record.
struct run_checker_fixture {
  run_records Records{.Executions = {{.RequestId = "r1", .Account = "keepers"}},
                      .Answers = {answer("r1", 0ms, 10ms)},
                      .Envelopes = {{"keepers", 1, 2}}};

  static answer_record answer(const std::string &Id,
                              std::chrono::milliseconds Sent,
                              std::chrono::milliseconds Answered) {
    return {.RequestId = Id,
            .Account = "keepers",
            .SentAt = run_time{} + Sent,
            .AnsweredAt = run_time{} + Answered,
            .Status = 200,
            .AnsweredId = Id,
            .Sent = "body",
            .Received = "body"};
  }

  bool finds(violation_kind Kind) const {
    const auto Found = checkRun(Records);
    return Found.size() == 1 && Found[0].Kind == Kind;
  }
};

} // namespace

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_cleanRun_noViolation") {
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_notRunThatRan_rejected") {
  Records.Answers[0].Status = 503;
  Records.Answers[0].Outcome = "not-run";
  CHECK(finds(violation_kind::NotRunButRan));
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_unrepeatableTwice_rejected") {
  Records.Executions.push_back(Records.Executions[0]);
  CHECK(finds(violation_kind::RanTwice));
  Records.Answers[0].Repeatable = true;
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_foreignOrShortBody_rejected") {
  Records.Answers[0].AnsweredId = "r2";
  CHECK(finds(violation_kind::WrongAnswer));
  Records.Answers[0].AnsweredId = "r1";
  Records.Answers[0].Received = "bo";
  CHECK(finds(violation_kind::WrongAnswer));
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_keyAtTarget_rejected") {
  Records.Executions[0].SawKey = true;
  CHECK(finds(violation_kind::KeySeenByTarget));
}

TEST_CASE_FIXTURE(run_checker_fixture, "checkRun_aboveEnvelope_rejected") {
  for (const char *Id : {"r2", "r3"}) {
    Records.Executions.push_back({.RequestId = Id, .Account = "keepers"});
    Records.Answers.push_back(answer(Id, 20ms, 30ms));
  }
  CHECK(finds(violation_kind::EnvelopeExceeded));
  Records.Answers[2].AnsweredAt = run_time{} + 1100ms;
  CHECK(checkRun(Records).empty());
}
