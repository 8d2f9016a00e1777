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
// to the caller, the request goes to another target.
TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_largeResponseBreaksOff_fetchedFromOtherTarget") {
  constexpr std::size_t Bytes = 200'000;
  Targets[0]->Target.setBehaviour("answer_bytes=200000&truncate_at=150000");
  Targets[1]->Target.setBehaviour("answer_bytes=200000");
  for (int Count = 0; Count < 12; ++Count) {
    const client_response Response =
        callWithKey(Nodes.front()->Node.CallerPort, "/packs/1", "keeper-key",
                    "pack" + std::to_string(Count));
    CHECK(Response.Status == 200);
    CHECK(Response.Body.size() == Bytes);
  }
  CHECK(Targets[0]->Target.executions() != "[]");
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
