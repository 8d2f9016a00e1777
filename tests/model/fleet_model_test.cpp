#include "model/fleet_search.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace peridot::test;

namespace {

/// Four VMs, two in each of two data centres, that have run for long.
struct fleet_model_fixture {
  static constexpr std::size_t A1 = 0;
  static constexpr std::size_t A2 = 1;
  static constexpr std::size_t B1 = 2;
  static constexpr std::size_t B2 = 3;
  static constexpr unsigned SteadySteps = std::chrono::minutes(2) / ModelStep;
  static constexpr unsigned LongSteps = std::chrono::seconds(30) / ModelStep;

  explicit fleet_model_fixture(const modelled_fleet &Vms = fleetOf(4),
                               unsigned Steps = SteadySteps)
      : Fleet(Vms) {
    Model.startAll();
    pass(Steps);
  }

  /// Applies \p Changes in one step.
  void change(const std::vector<fleet_change> &Changes) {
    Model.beginStep();
    for (const fleet_change &Each : Changes)
      Model.apply(Each);
    Model.tick();
    while (Model.hasMessage())
      Model.deliver();
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

  modelled_fleet Fleet;
  fleet_model Model{Fleet};
  unsigned WindowsAboveLimit = 0;
};

/// Six VMs, three in each data centre.
struct large_fleet_fixture : fleet_model_fixture {
  large_fleet_fixture() : fleet_model_fixture(sixVms()) {}

  static modelled_fleet sixVms() {
    modelled_fleet Vms = fleetOf(4);
    Vms.Vms.push_back({"a-3", "lakes-a", true});
    Vms.Vms.push_back({"b-3", "lakes-b", false});
    return Vms;
  }
};

/// Four VMs that have just started.
struct new_fleet_fixture : fleet_model_fixture {
  new_fleet_fixture() : fleet_model_fixture(fleetOf(4), 0) {}
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

// Guards against data centres that report to each other's lost VMs only, so
// that each divides the limits without the other.
TEST_CASE_FIXTURE(fleet_model_fixture,
                  "fleet_firstVmOfEachDataCenterKilled_noLimitExceeded") {
  change({kill_vm{A1}, kill_vm{B1}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

TEST_CASE_FIXTURE(large_fleet_fixture,
                  "fleet_firstTwoVmsOfEachDataCenterKilled_noLimitExceeded") {
  change({kill_vm{A1}, kill_vm{A2}, kill_vm{B1}, kill_vm{B2}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

// Guards against a VM that was frozen and uses, before it hears of the others,
// what these were given meanwhile.
TEST_CASE_FIXTURE(fleet_model_fixture,
                  "fleet_primaryFrozenForLong_holdsNothingWhenItWakes") {
  constexpr unsigned ShortSteps = 3;
  constexpr unsigned FrozenSteps = std::chrono::seconds(3) / ModelStep;
  change({freeze_vm{A1, ShortSteps}, freeze_vm{A2, FrozenSteps}});
  pass(FrozenSteps - 1);
  change({freeze_vm{A2, ShortSteps}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

// Guards against a VM that goes on with its old part while the others, which
// hear nothing of it, have divided the limits without it.
TEST_CASE_FIXTURE(fleet_model_fixture,
                  "fleet_vmHeardByNoOneButHearsAll_noLimitExceeded") {
  change({cut_vm{A2, cut_direction::From, LongSteps}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

// Guards against a VM that hears of none in its data centre and uses limits
// whole whose primaries go on.
TEST_CASE_FIXTURE(fleet_model_fixture, "fleet_vmCutOff_noLimitExceeded") {
  constexpr unsigned CutSteps = std::chrono::seconds(3) / ModelStep;
  change({cut_vm{B2, cut_direction::Both, CutSteps}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

// Guards against VMs of one data centre that count the hosts of a silent one
// differently, so that a limit is whole for one and divided for the other.
TEST_CASE_FIXTURE(new_fleet_fixture,
                  "fleet_dataCenterLostInTwoSteps_noLimitExceeded") {
  change({leave_vm{B2}});
  change({kill_vm{B1}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

// Guards against a VM that wakes, hears of none for a moment, and uses limits
// whole whose primaries go on.
TEST_CASE_FIXTURE(new_fleet_fixture,
                  "fleet_vmWakesAndHearsNothing_noLimitExceeded") {
  constexpr unsigned FrozenSteps = std::chrono::seconds(3) / ModelStep;
  constexpr unsigned StepsToCut = 10;
  constexpr unsigned CutSteps = 3;
  change({freeze_vm{B1, FrozenSteps}});
  pass(StepsToCut - 1);
  change({cut_vm{B1, cut_direction::To, CutSteps}});
  pass(LongSteps);
  CHECK(WindowsAboveLimit == 0);
}

namespace {

/// Six VMs of which some are stopped and started again, without any fault.
struct planned_restarts_fixture : large_fleet_fixture {
  static constexpr std::size_t A3 = 4;

  /// Passes \p Steps steps and then begins \p Changes in one more.
  void after(unsigned Steps, const std::vector<fleet_change> &Changes) {
    pass(Steps);
    change(Changes);
  }
};

} // namespace

// Guards against limits that are exceeded when several VMs are stopped one
// after the other and started again, while all messages arrive at once.
TEST_CASE_FIXTURE(planned_restarts_fixture,
                  "fleet_fourVmsRestartedInSixSeconds_noLimitExceeded") {
  after(58, {leave_vm{A3}});
  after(5, {leave_vm{B2}});
  after(4, {leave_vm{A1}});
  after(7, {start_vm{A3}});
  after(0, {leave_vm{B1}});
  after(0, {start_vm{B2}});
  after(0, {start_vm{A1}});
  after(6, {start_vm{B1}});
  pass(LongSteps);
  INFO(Model.describeAdmissions());
  CHECK(WindowsAboveLimit == 0);
}
