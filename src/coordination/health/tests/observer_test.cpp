#include "coordination/health/evidence_collector.h"
#include "coordination/health/retry_budget.h"
#include "coordination/health/verdict_store.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct observer_fixture {
  evidence_collector Collector;
  instant Now = instant{} + 1000s;
  bool OnTrial = false;

  void attempt(attempt_end End, duration Latency = 10ms,
               const std::string &Target = "hive-1") {
    const std::vector<attempt_observation> Attempts{
        {.Service = service_name("hive"),
         .Target = target_name(Target),
         .End = End,
         .Latency = Latency}};
    Collector.observe(Attempts, Now, [this](const auto &) { return OnTrial; });
  }

  std::vector<service_report> reports() { return Collector.takeReports(Now); }
};

} // namespace

TEST_CASE_FIXTURE(observer_fixture, "takeReports_noBadRequests_totalOnly") {
  for (int Count = 0; Count < 100; ++Count)
    attempt(attempt_end::Responded);
  const auto First = reports();
  REQUIRE(First.size() == 1);
  CHECK(First[0].Requests == 100);
  CHECK(First[0].Targets.empty());
  attempt(attempt_end::Responded);
  Now += 500ms;
  CHECK(reports().empty());
  Now += 60s;
  CHECK(reports().size() == 1);
}

TEST_CASE_FIXTURE(observer_fixture, "takeReports_failureAndSlow_counted") {
  for (int Count = 0; Count < 100; ++Count)
    attempt(attempt_end::Responded);
  attempt(attempt_end::TimedOut);
  attempt(attempt_end::Responded, 400ms);
  attempt(attempt_end::Shed);
  attempt(attempt_end::Cancelled);
  const auto Reports = reports();
  REQUIRE(Reports.size() == 1);
  REQUIRE(Reports[0].Targets.size() == 1);
  CHECK(Reports[0].Targets[0].Failures == 1);
  CHECK(Reports[0].Targets[0].Slow == 1);
  CHECK(Reports[0].Requests == 102);
}

TEST_CASE_FIXTURE(observer_fixture, "takeReports_byteBudgetSpent_countsKept") {
  Collector = evidence_collector({.BytesPerSecond = 1, .BurstBytes = 200});
  attempt(attempt_end::Broken);
  CHECK(reports().size() == 1);
  attempt(attempt_end::Broken);
  CHECK(reports().empty());
  Now += 200s;
  attempt(attempt_end::Broken);
  const auto Later = reports();
  REQUIRE(Later.size() == 1);
  CHECK(Later[0].Targets[0].Failures == 2);
}

TEST_CASE_FIXTURE(observer_fixture,
                  "takeReports_targetOnTrial_goodRequestsReported") {
  OnTrial = true;
  attempt(attempt_end::Responded);
  const auto Reports = reports();
  REQUIRE(Reports.size() == 1);
  CHECK(Reports[0].Targets.size() == 1);
}

TEST_CASE_FIXTURE(observer_fixture, "accept_lowerVersion_refused") {
  verdict_store Store;
  service_verdicts Set{.Service = service_name("hive"),
                       .Version = {.Epoch = {2}, .Number = 1}};
  CHECK(Store.accept(Set));
  CHECK_FALSE(Store.accept(Set));
  Set.Version = {.Epoch = {1}, .Number = 9};
  CHECK_FALSE(Store.accept(Set));
  Set.Version = {.Epoch = {3}, .Number = 0};
  CHECK(Store.accept(Set));
}

TEST_CASE_FIXTURE(observer_fixture, "take_noSuccesses_budgetExhausted") {
  retry_budgets Budgets({.RetriesPerSuccess = 0.1, .Capacity = 2});
  retry_budget &Budget =
      Budgets.getOrCreate({account_name("keepers"), service_name("hive")});
  CHECK(Budget.take());
  CHECK(Budget.take());
  CHECK_FALSE(Budget.take());
  for (int Count = 0; Count < 11; ++Count)
    Budget.recordSuccess();
  CHECK(Budget.take());
}
