#include <functional>
#include <thread>

#include <doctest/doctest.h>

#include "support/full_listener.h"
#include "support/run_checker.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

using std::chrono::steady_clock;

/// One node and two targets; requests have a deadline of 2 s.
struct store_attempts_fixture : store_fleet {
  store_attempts_fixture() {
    writeConfiguration(1, {{.Name = "keepers",
                            .Keys = {"keeper-key"},
                            .RequestsPerSecond = 400,
                            .Burst = 400}});
    addTarget("hive-1", "lakes-a");
    addTarget("hive-2", "lakes-a");
    addNode("vm-1", "lakes-a");
    awaitReady(*Nodes.front());
    awaitCondition("a share of the account's limit",
                   [this] { return requestSucceeds("/logs/"); });
  }

  /// Sends a request; returns whether its status is 200.
  bool requestSucceeds(const std::string &Path) {
    return callWithKey(Nodes.front()->Node.CallerPort, Path, "keeper-key",
                       "r" + std::to_string(++LastId), "hive")
               .Status == 200;
  }

  /// Sends \p Count requests; returns how many were served within \p Limit.
  int countServedWithin(steady_clock::duration Limit, const std::string &Path,
                        int Count) {
    int Served = 0;
    for (int Each = 0; Each < Count; ++Each) {
      const auto Start = steady_clock::now();
      Served +=
          requestSucceeds(Path) && steady_clock::now() - Start < Limit ? 1 : 0;
    }
    return Served;
  }

  /// Sends a request; returns the target that executed it.
  const running_target &preferredTarget() {
    const std::string Before = Targets[0]->Target.executions();
    CHECK(requestSucceeds("/logs/1"));
    const bool IsFirst = Targets[0]->Target.executions() != Before;
    return Targets[IsFirst ? 0 : 1]->Target;
  }

  /// Sends a request with a large response and checks that it is complete.
  void checkWholeResponse(std::size_t Bytes) {
    const client_response Response =
        callWithKey(Nodes.front()->Node.CallerPort, "/packs/1", "keeper-key",
                    "pack" + std::to_string(++LastId));
    INFO(Response.Body.substr(0, 500));
    CHECK(Response.Status == 200);
    CHECK(Response.Body.size() == Bytes);
  }

  /// Number of requests that the targets started to execute.
  int countExecutions() const {
    std::size_t Count = 0;
    for (const auto &Each : Targets)
      Count += parseExecutions(Each->Target.executions()).size();
    return static_cast<int>(Count);
  }

  /// Sends a request that must not be repeated, and pauses processes with
  /// \p SignalAll for a second while it runs.
  /// \returns whether it ran once and was served.
  bool servesOnceDespitePause(const std::function<void(int)> &SignalAll) {
    for (const auto &Each : Targets)
      Each->Target.setBehaviour("delay_ms=300");
    const int Before = countExecutions();
    bool IsServed = false;
    std::thread Caller([&] { IsServed = requestSucceeds("/dispatch/1"); });
    awaitCondition("the request to run",
                   [&] { return countExecutions() > Before; });
    SignalAll(SIGSTOP);
    std::this_thread::sleep_for(1s);
    SignalAll(SIGCONT);
    Caller.join();
    return IsServed && countExecutions() == Before + 1;
  }

  int LastId = 0;
};

} // namespace

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_connectToTargetHangs_othersServeInTime") {
  const full_listener Full;
  store_target Unreachable;
  Unreachable.Target.Name = "hive-3";
  Unreachable.Target.DataCenter = "lakes-a";
  Unreachable.Proxy = std::make_unique<running_proxy>();
  Unreachable.Proxy->Port = Full.port();
  registerTarget(Unreachable);
  std::this_thread::sleep_for(500ms);
  CHECK(countServedWithin(1s, "/dispatch/1", 12) == 12);
}

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_targetSilent_otherServesRepeatableInTime") {
  REQUIRE(countServedWithin(1s, "/logs/1", 20) == 20);
  Targets[0]->Target.setBehaviour("silent_percent=100");
  CHECK(countServedWithin(1s, "/logs/1", 12) == 12);
}

// Guards against large responses that break off halfway: while nothing was sent
// to the caller, the request goes to another target. The first requests earn
// the retries that this takes. In each round the target that the node prefers
// is damaged, until a request has met the damage.
TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_largeResponseBreaksOff_fetchedFromOtherTarget") {
  constexpr int FillingRequests = 200;
  constexpr int RequestsPerRound = 12;
  constexpr int MaxRounds = 10;
  REQUIRE(countServedWithin(1s, "/logs/1", FillingRequests) == FillingRequests);
  bool IsDamageMet = false;
  for (int Round = 0; Round < MaxRounds && !IsDamageMet; ++Round) {
    const running_target &Damaged = preferredTarget();
    for (const auto &Each : Targets)
      Each->Target.setBehaviour("answer_bytes=200000");
    Damaged.setBehaviour("answer_bytes=200000&truncate_at=150000");
    const std::string Before = Damaged.executions();
    for (int Count = 0; Count < RequestsPerRound; ++Count)
      checkWholeResponse(200'000);
    IsDamageMet = Damaged.executions() != Before;
  }
  CHECK(IsDamageMet);
}

// A retry that the budget does not allow is named as the cause, since it cannot
// be told from the target's fault otherwise.
TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_retryBudgetUsedUp_refusalSaysSo") {
  for (const auto &Each : Targets)
    Each->Target.setBehaviour("answer_bytes=200000&truncate_at=150000");
  std::string Detail;
  for (int Count = 0; Count < 3; ++Count)
    Detail = callWithKey(Nodes.front()->Node.CallerPort, "/packs/1",
                         "keeper-key", "broken" + std::to_string(Count))
                 .Body;
  CHECK(Detail.find("the retry budget is used up") != Detail.npos);
}

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_leaving_slowTargetsNotLeftWhileAtWork") {
  REQUIRE(countServedWithin(1s, "/logs/1", 20) == 20);
  for (const auto &Each : Targets)
    Each->Target.setBehaviour("delay_ms=700");
  http_connection Open(Nodes.front()->Node.CallerPort);
  Nodes.front()->Node.Process->signal(SIGTERM);
  Nodes.front()->Node.Process->awaitLine("\"shutdown-started\"");
  const int Before = countExecutions();
  CHECK(callWithKey(Open, "/logs/1", "keeper-key", "leaving", "hive").Status ==
        200);
  CHECK(countExecutions() == Before + 1);
}

// Guards against an attempt that keeps the time limit which it got before the
// VM began to leave: the target at work must not be left for another one.
TEST_CASE_FIXTURE(
    store_attempts_fixture,
    "node_beginsToLeaveDuringAttempt_slowTargetNotLeftWhileAtWork") {
  REQUIRE(countServedWithin(1s, "/logs/1", 20) == 20);
  for (const auto &Each : Targets)
    Each->Target.setBehaviour("delay_ms=900");
  const int Before = countExecutions();
  bool IsServed = false;
  std::thread Caller([&] { IsServed = requestSucceeds("/logs/1"); });
  awaitCondition("the request to run",
                 [&] { return countExecutions() > Before; });
  Nodes.front()->Node.Process->signal(SIGTERM);
  Caller.join();
  CHECK(IsServed);
  CHECK(countExecutions() == Before + 1);
}

// Guards against a second attempt that goes by the targets known when the
// request came. The second attempt comes after four times the delay, 1.6 s; the
// node reads changes shortly after each other together, 300 ms later.
TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_allTargetsDrainDuringAttempt_noFurtherAttempt") {
  for (const auto &Each : Targets)
    Each->Target.setBehaviour("delay_ms=400");
  REQUIRE(countServedWithin(1s, "/logs/1", 20) == 20);
  for (const auto &Each : Targets)
    Each->Target.setBehaviour("silent_percent=100");
  const int Before = countExecutions();
  std::thread Caller([this] { requestSucceeds("/logs/1"); });
  awaitCondition("the first attempt",
                 [&] { return countExecutions() > Before; });
  for (const auto &Each : Targets)
    registerTarget(*Each, "draining");
  Caller.join();
  CHECK(countExecutions() == Before + 1);
}

// Guards against a target that is silent for a while: a request that must not
// be repeated is neither sent elsewhere nor given up.
TEST_CASE_FIXTURE(
    store_attempts_fixture,
    "node_targetPausedDuringRequest_unrepeatableRunsOnceAndServed") {
  CHECK(servesOnceDespitePause([this](int Signal) {
    for (const auto &Each : Targets)
      Each->Target.Process->signal(Signal);
  }));
}

// The same for a VM that does not run for a while.
TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_pausedDuringRequest_unrepeatableRunsOnceAndServed") {
  CHECK(servesOnceDespitePause(
      [this](int Signal) { Nodes.front()->Node.Process->signal(Signal); }));
}
