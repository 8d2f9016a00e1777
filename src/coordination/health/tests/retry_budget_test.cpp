#include "coordination/health/retry_budget.h"

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
