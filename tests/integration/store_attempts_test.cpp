#include <thread>

#include <doctest/doctest.h>

#include "support/full_listener.h"
#include "support/run_checker.h"
#include "support/store_fleet.h"

using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

using std::chrono::steady_clock;

/// One node before two targets; callers wait for 2 s.
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
    awaitCondition("a share of the limit", [this] { return served("/logs/"); });
  }

  bool served(const std::string &Path) {
    return keyedCall(Nodes.front()->Node.CallerPort, Path, "keeper-key",
                     "r" + std::to_string(++LastId), "hive")
               .Status == 200;
  }

  /// Requests of \p Count that were served within \p Limit.
  int servedWithin(steady_clock::duration Limit, const std::string &Path,
                   int Count) {
    int Served = 0;
    for (int Each = 0; Each < Count; ++Each) {
      const auto Start = steady_clock::now();
      Served += served(Path) && steady_clock::now() - Start < Limit ? 1 : 0;
    }
    return Served;
  }

  /// Requests that all targets began to run.
  int runs() const {
    std::size_t Count = 0;
    for (const auto &Each : Targets)
      Count += parseExecutions(Each->Target.executions()).size();
    return static_cast<int>(Count);
  }

  int LastId = 0;
};

} // namespace

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_targetTakesNoConnections_othersServeInTime") {
  const full_listener Full;
  store_target Unreachable;
  Unreachable.Target.Name = "hive-3";
  Unreachable.Target.DataCenter = "lakes-a";
  Unreachable.Way = std::make_unique<running_proxy>();
  Unreachable.Way->Port = Full.port();
  registerTarget(Unreachable);
  std::this_thread::sleep_for(500ms);
  CHECK(servedWithin(1s, "/dispatch/1", 12) == 12);
}

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_targetHangs_repeatableServedElsewhereInTime") {
  REQUIRE(servedWithin(1s, "/logs/1", 20) == 20);
  Targets[0]->Target.behave("silent_percent=100");
  CHECK(servedWithin(1s, "/logs/1", 12) == 12);
}

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_leaving_slowTargetsNotLeftWhileAtWork") {
  REQUIRE(servedWithin(1s, "/logs/1", 20) == 20);
  for (const auto &Each : Targets)
    Each->Target.behave("delay_ms=700");
  http_connection Open(Nodes.front()->Node.CallerPort);
  Nodes.front()->Node.Process->signal(SIGTERM);
  Nodes.front()->Node.Process->awaitLine("\"shutdown-started\"");
  const int Before = runs();
  CHECK(keyedCall(Open, "/logs/1", "keeper-key", "leaving", "hive").Status ==
        200);
  CHECK(runs() == Before + 1);
}

TEST_CASE_FIXTURE(store_attempts_fixture,
                  "node_targetsLeaveDuringAttempt_nextAttemptGoesToNone") {
  for (const auto &Each : Targets)
    Each->Target.behave("delay_ms=100");
  REQUIRE(servedWithin(1s, "/logs/1", 20) == 20);
  for (const auto &Each : Targets)
    Each->Target.behave("silent_percent=100");
  const int Before = runs();
  std::thread Caller([this] { served("/logs/1"); });
  awaitCondition("the first attempt", [&] { return runs() > Before; });
  for (const auto &Each : Targets)
    registerTarget(*Each, "draining");
  Caller.join();
  CHECK(runs() == Before + 1);
}
