#include "coordination/health/retry_budget.h"

#include <random>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct retry_budgets_fixture {
  retry_budget_key Key{.Account = account_name("keepers"),
                       .Service = service_name("hive")};
  retry_budgets Budgets{{.Capacity = 2}};
};

} // namespace

TEST_CASE_FIXTURE(retry_budgets_fixture,
                  "configure_budgetInUse_keepsItsPlace") {
  const retry_budget *Before = &Budgets.getOrCreate(Key);
  Budgets.configure({.Capacity = 1});
  CHECK(&Budgets.getOrCreate(Key) == Before);
  CHECK(Budgets.getOrCreate(Key).take());
  CHECK(!Budgets.getOrCreate(Key).take());
}

TEST_CASE_FIXTURE(retry_budgets_fixture,
                  "getOrCreate_budgetPerService_sharedByAccounts") {
  Budgets.configure({.PerAccount = false, .Capacity = 1});
  retry_budget_key Other = Key;
  Other.Account = account_name("renters");
  CHECK(&Budgets.getOrCreate(Key) == &Budgets.getOrCreate(Other));
}

TEST_CASE("retryBudget_new_startsBelowCapacity") {
  retry_budget Budget(
      {.RetriesPerRequest = 0.5, .Capacity = 8, .InitialTokens = 1});
  CHECK(Budget.take());
  CHECK(!Budget.take());
  for (int Count = 0; Count < 100; ++Count)
    Budget.recordRequest();
  int Taken = 0;
  while (Budget.take())
    ++Taken;
  CHECK(Taken == 8);
}

// Guards against a fleet without any retries: divided among many VMs, the
// budget of each one holds less than one retry.
TEST_CASE("take_budgetBelowOneRetry_retriesAtTheEarnedRate") {
  constexpr int Requests = 10'000;
  constexpr double RetriesPerRequest = 0.18;
  retry_budget Budget({.RetriesPerRequest = RetriesPerRequest,
                       .Capacity = 0.05,
                       .InitialTokens = 1});
  std::mt19937_64 Random(7);
  int Taken = 0;
  for (int Count = 0; Count < Requests; ++Count) {
    Budget.recordRequest();
    if (Budget.take(0, Random()))
      ++Taken;
  }
  CHECK(Taken > Requests * RetriesPerRequest * 0.9);
  CHECK(Taken < Requests * RetriesPerRequest * 1.1);
}
