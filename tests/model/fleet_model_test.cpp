#include "model/fleet_search.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace peridot::test;

namespace {

/// Four VMs, two in each of two data centres, that have run for long.
struct fleet_model_fixture {
  static constexpr unsigned SteadySteps = std::chrono::minutes(2) / ModelStep;

  fleet_model_fixture() {
    Model.startAll();
    pass(SteadySteps);
  }

  /// Lets \p Steps pass and checks that no limit is exceeded.
  void pass(unsigned Steps) {
    for (; Steps > 0; --Steps) {
      Model.pass(1);
      for (std::size_t Account = 0; Account < Fleet.Accounts.size(); ++Account)
        if (Model.admittedInWindow(Account) > Model.maxAdmitted(Account))
          ++WindowsAboveLimit;
    }
  }

  modelled_fleet Fleet = fleetOf(4);
  fleet_model Model{Fleet};
  unsigned WindowsAboveLimit = 0;
};

/// Searches with every kind of departure, and few enough to be done without
/// leaving out states that were seen.
search_result searchSmall(bool LeavesOutSeenStates) {
  return fleet_search(fleetOf(3), {.Depth = 1,
                                   .ChangeSteps = 4,
                                   .MaxBreaks = 1'000'000,
                                   .LeavesOutSeenStates = LeavesOutSeenStates})
      .runFromStart();
}

} // namespace

// Guards against digests that are equal for states that go on differently.
TEST_CASE("search_seenStatesLeftOut_sameExtremes") {
  const search_result All = searchSmall(false);
  const search_result Distinct = searchSmall(true);
  CHECK(Distinct.States == All.States);
  CHECK(Distinct.Transitions < All.Transitions);
  CHECK(Distinct.Ends < All.Ends);
  CHECK(Distinct.MaxAdmittedShare == All.MaxAdmittedShare);
  CHECK(Distinct.MinUsableShare == All.MinUsableShare);
}

// Guards against a model in which less than the rules allow is reached.
TEST_CASE_FIXTURE(fleet_model_fixture,
                  "fleet_undisturbed_wholeLimitsAndNoMoreAdmitted") {
  CHECK(WindowsAboveLimit == 0);
  for (std::size_t Account = 0; Account < Fleet.Accounts.size(); ++Account)
    CHECK(Model.admittedInWindow(Account) >= Model.minAdmitted(Account));
}
