#include "coordination/health/retry_budget.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct retry_budgets_fixture {
  retry_party Key{.Account = account_name("keepers"),
                  .Service = service_name("hive")};
  retry_budgets Budgets{{.Capacity = 2}};
};

} // namespace

TEST_CASE_FIXTURE(retry_budgets_fixture,
                  "configure_budgetInUse_keepsItsPlace") {
  const retry_budget *Before = &Budgets.of(Key);
  Budgets.configure({.Capacity = 1});
  CHECK(&Budgets.of(Key) == Before);
  CHECK(Budgets.of(Key).take());
  CHECK(!Budgets.of(Key).take());
}

TEST_CASE_FIXTURE(retry_budgets_fixture,
                  "of_budgetPerService_sharedByAccounts") {
  Budgets.configure({.PerAccount = false, .Capacity = 1});
  retry_party Other = Key;
  Other.Account = account_name("renters");
  CHECK(&Budgets.of(Key) == &Budgets.of(Other));
}

TEST_CASE("retryBudget_new_startsBelowCapacity") {
  retry_budget Budget({.RetriesPerRequest = 0.5, .Capacity = 8, .AtFirst = 1});
  CHECK(Budget.take());
  CHECK(!Budget.take());
  for (int Count = 0; Count < 100; ++Count)
    Budget.arrived();
  int Taken = 0;
  while (Budget.take())
    ++Taken;
  CHECK(Taken == 8);
}
