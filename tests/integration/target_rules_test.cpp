#include <doctest/doctest.h>

#include "support/run_checker.h"
#include "support/target_rules.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

using std::chrono::milliseconds;

constexpr std::uint16_t FirstVm = 1001;
constexpr std::uint16_t SecondVm = 1002;

/// Records of requests that the target hive-1 responds to; each test adds
/// requests and interruptions to them.
struct target_rules_fixture {
  run_records Records;

  static run_time at(milliseconds Time) { return run_time{} + Time; }

  /// Adds a request that reaches the target 10 ms after it was sent, and whose
  /// response the caller gets 10 ms later.
  arrival_record &add(const std::string &Id, milliseconds SentAt,
                      std::uint16_t CallerPort = FirstVm) {
    Records.Executions.push_back({.RequestId = Id, .Account = "keepers"});
    Records.Responses.push_back({.RequestId = Id,
                                 .Account = "keepers",
                                 .CallerPort = CallerPort,
                                 .IsRepeatable = true,
                                 .SentAt = at(SentAt),
                                 .ReceivedAt = at(SentAt + 20ms),
                                 .Status = 200,
                                 .EchoedRequestId = Id,
                                 .Target = "hive-1"});
    Records.Arrivals.push_back({.Target = "hive-1",
                                .Process = 1,
                                .RequestId = Id,
                                .ArrivedAt = at(SentAt + 10ms),
                                .RespondedAt = at(SentAt + 10ms)});
    return Records.Arrivals.back();
  }

  void interrupt(interruption_kind Kind, milliseconds From, milliseconds Until,
                 std::uint16_t CallerPort = FirstVm) {
    Records.Interruptions.push_back({.Kind = Kind,
                                     .CallerPort = CallerPort,
                                     .From = at(From),
                                     .Until = at(Until)});
  }

  /// Whether the only violation found is of \p Kind.
  bool findsOnly(violation_kind Kind) const {
    const auto Found = checkRun(Records);
    return Found.size() == 1 && Found[0].Kind == Kind;
  }
};

/// The target says at 0.02 s, through the first VM, that it leaves.
struct leaving_target_fixture : target_rules_fixture {
  leaving_target_fixture() { add("word", 0ms).SaysLeaving = true; }
};

/// The target responds at 0.01 s to the first VM and asks for a pause of 2 s.
struct paused_target_fixture : target_rules_fixture {
  paused_target_fixture() { add("refused", 0ms).Pause = 2s; }

  /// Adds requests that arrive at 1.01, 1.02 s and so on.
  void addArrivalsInPause(int Count, std::uint16_t CallerPort = FirstVm) {
    for (int Each = 0; Each < Count; ++Each)
      add("late-" + std::to_string(Each), 1s + Each * 10ms, CallerPort);
  }
};

} // namespace

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_requestSentAfterDrainTime_violation") {
  add("late", 20ms + DrainTime + 1ms);
  CHECK(findsOnly(violation_kind::RequestAfterLeaving));
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_requestSentWithinDrainTime_noViolation") {
  add("in time", 20ms + DrainTime).ArrivedAt += 5s;
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_severalLateRequests_oneViolationForVm") {
  add("late-1", 3s);
  add("late-2", 4s);
  CHECK(findsOnly(violation_kind::RequestAfterLeaving));
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_lateRequestRetriedAtLeavingTarget_violation") {
  add("retried", 3s);
  Records.Responses.back().Target = "hive-2";
  CHECK(findsOnly(violation_kind::RequestAfterLeaving));
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_wordOfLeavingNotPassedOn_noViolation") {
  add("late", 3s);
  SUBCASE("response lost") { Records.Responses[0].Status = 0; }
  SUBCASE("other target responded") { Records.Responses[0].Target = "hive-2"; }
  SUBCASE("no response") { Records.Arrivals[0].RespondedAt.reset(); }
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_requestOfOtherVmOrProcess_noViolation") {
  add("other VM", 3s, SecondVm);
  add("later process", 3s).Process = 2;
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_restartOrFreezeSinceWordOfLeaving_noViolation") {
  add("late", 3s);
  for (const auto Kind :
       {interruption_kind::Restart, interruption_kind::Freeze}) {
    Records.Interruptions.clear();
    interrupt(Kind, 1s, 1500ms);
    CHECK(checkRun(Records).empty());
  }
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_interruptionThatIsNoExcuse_violation") {
  add("late", 3s);
  SUBCASE("cut") { interrupt(interruption_kind::Cut, 0ms, 4s); }
  SUBCASE("before the word of leaving") {
    interrupt(interruption_kind::Restart, 0ms, 19ms);
  }
  SUBCASE("after the request") {
    interrupt(interruption_kind::Freeze, 3011ms, 4s);
  }
  SUBCASE("of another VM") {
    interrupt(interruption_kind::Restart, 1s, 2s, SecondVm);
  }
  CHECK(findsOnly(violation_kind::RequestAfterLeaving));
}

TEST_CASE_FIXTURE(leaving_target_fixture,
                  "checkRun_wordOfLeavingAgainAfterRestart_violation") {
  interrupt(interruption_kind::Restart, 1s, 1500ms);
  add("second word", 2s).SaysLeaving = true;
  add("late", 4500ms);
  CHECK(findsOnly(violation_kind::RequestAfterLeaving));
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_threeRequestsInPause_violation") {
  addArrivalsInPause(3);
  CHECK(findsOnly(violation_kind::RequestsInPause));
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_twoRequestsInPause_noViolation") {
  addArrivalsInPause(2);
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_requestsBeforeOrAfterPause_noViolation") {
  addArrivalsInPause(2);
  add("before", 499ms);
  add("after", 2s);
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_requestsAtBoundsOfPause_violation") {
  add("first", 500ms);
  add("second", 1s);
  add("third", 1999ms);
  CHECK(findsOnly(violation_kind::RequestsInPause));
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_requestsOfOtherVmOrProcess_noViolation") {
  SUBCASE("VM") { addArrivalsInPause(3, SecondVm); }
  SUBCASE("process") {
    addArrivalsInPause(3);
    Records.Arrivals.back().Process = 2;
  }
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_interruptionDuringPause_noViolation") {
  addArrivalsInPause(3);
  for (const auto Kind : {interruption_kind::Restart, interruption_kind::Freeze,
                          interruption_kind::Cut}) {
    Records.Interruptions.clear();
    interrupt(Kind, 600ms, 700ms);
    CHECK(checkRun(Records).empty());
  }
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_cutFromPausedTarget_noViolation") {
  addArrivalsInPause(3);
  interrupt(interruption_kind::Cut, 600ms, 700ms);
  Records.Interruptions.back().Target = "hive-1";
  CHECK(checkRun(Records).empty());
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_interruptionThatIsNoExcuseForPause_violation") {
  addArrivalsInPause(3);
  SUBCASE("before the response") {
    interrupt(interruption_kind::Restart, 0ms, 9ms);
  }
  SUBCASE("after the pause") {
    interrupt(interruption_kind::Freeze, 2011ms, 3s);
  }
  SUBCASE("of another VM") {
    interrupt(interruption_kind::Cut, 600ms, 700ms, SecondVm);
  }
  SUBCASE("cut from another target") {
    interrupt(interruption_kind::Cut, 600ms, 700ms);
    Records.Interruptions.back().Target = "hive-2";
  }
  CHECK(findsOnly(violation_kind::RequestsInPause));
}

TEST_CASE_FIXTURE(paused_target_fixture,
                  "checkRun_laterResponseWithShorterPause_bothPausesCount") {
  add("second refusal", 100ms).Pause = 600ms;
  add("late-0", 800ms);
  add("late-1", 900ms);
  CHECK(checkRun(Records).empty());
  add("late-2", 1s);
  CHECK(findsOnly(violation_kind::RequestsInPause));
}

TEST_CASE("parseArrivals_listOfTarget_allFields") {
  const auto Arrivals = parseArrivals(
      R"([{"target":"hive-1","process":2,"request_id":"r1","arrived_at":5,)"
      R"("responded_at":7,"says_leaving":true,"pause_ms":1500},)"
      R"({"target":"hive-1","process":2,"request_id":"r2","arrived_at":6,)"
      R"("responded_at":null,"says_leaving":false,"pause_ms":0}])");
  REQUIRE(Arrivals.size() == 2);
  CHECK(Arrivals[0].Target == "hive-1");
  CHECK(Arrivals[0].Process == 2);
  CHECK(Arrivals[0].RequestId == "r1");
  CHECK(Arrivals[0].ArrivedAt == run_time(5ns));
  CHECK(Arrivals[0].RespondedAt == run_time(7ns));
  CHECK(Arrivals[0].SaysLeaving);
  CHECK(Arrivals[0].Pause == 1500ms);
  CHECK(!Arrivals[1].RespondedAt);
  CHECK(!Arrivals[1].SaysLeaving);
}
