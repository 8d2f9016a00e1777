#include "coordination/load_balancing/tests/shared_targets_fixture.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

/// A run and the highest fraction of its requests that may find all slots of
/// their target in use.
struct bounded_run {
  shared_targets_run Run;
  double MaxFullShare = 1;
};

} // namespace

// Pattern: many VMs choose among the same targets by news that is a little old.
// With one cost for all they agree on the cheapest target and overrun it
// together while others idle; that is worse than a random choice.
TEST_CASE_FIXTURE(shared_targets_fixture,
                  "choose_manyVmsShareTargets_fewRequestsFindFullTarget") {
  for (const bounded_run &Each :
       {bounded_run{{.Vms = 20, .Targets = 115, .Load = 0.6}, 0.05},
        bounded_run{{.Vms = 60, .Targets = 115, .Load = 0.6}, 0.12}}) {
    CAPTURE(Each.Run.Vms);
    CHECK(play(Each.Run).FullShare <= Each.MaxFullShare);
  }
}

TEST_CASE_FIXTURE(shared_targets_fixture,
                  "choose_anyFleetAndLoad_betterThanRandomChoice") {
  for (const std::size_t Vms : {6, 20, 60})
    for (const std::size_t Targets : {15, 115, 330})
      for (const double Load : {0.6, 0.85}) {
        CAPTURE(Vms);
        CAPTURE(Targets);
        CAPTURE(Load);
        const shared_targets_result Chosen =
            play({.Vms = Vms, .Targets = Targets, .Load = Load});
        const shared_targets_result Random = play(
            {.Vms = Vms, .Targets = Targets, .Load = Load, .IsRandom = true});
        MESSAGE(Vms << " VMs, " << Targets << " targets, load " << Load << ": "
                    << Chosen.FullShare << " of " << Random.FullShare
                    << ", shed " << Chosen.ShedShare << " of "
                    << Random.ShedShare << ", busiest "
                    << Chosen.BusiestOverMean);
        CHECK(Chosen.FullShare <= Random.FullShare);
      }
}

// Pattern: callers hold addresses of few VMs, so one VM has half of the
// requests and far fewer slots of its own.
TEST_CASE_FIXTURE(shared_targets_fixture,
                  "choose_oneVmHasHalfOfRequests_betterThanRandomChoice") {
  shared_targets_run Run{.Vms = 20, .Load = 0.6, .FirstVmShare = 0.5};
  const double Chosen = play(Run).FullShare;
  Run.IsRandom = true;
  CHECK(Chosen <= play(Run).FullShare);
}

TEST_CASE_FIXTURE(shared_targets_fixture,
                  "choose_hostsChangeEachSecond_betterThanRandomChoice") {
  shared_targets_run Run{
      .Vms = 20, .Load = 0.6, .HostChangePeriod = std::chrono::seconds(1)};
  const double Chosen = play(Run).FullShare;
  Run.IsRandom = true;
  CHECK(Chosen <= play(Run).FullShare);
}

// Pattern: some targets take four times as long. Those whose own targets are
// slow have to find free ones of others.
TEST_CASE_FIXTURE(shared_targets_fixture,
                  "choose_someTargetsSlow_lessSentThere") {
  shared_targets_run Run{.Vms = 20, .Load = 0.4, .SlowTargets = 12};
  const shared_targets_result Chosen = play(Run);
  Run.IsRandom = true;
  const shared_targets_result Random = play(Run);
  CHECK(Chosen.FullShare <= Random.FullShare);
  CHECK(Chosen.SlowShare <= Random.SlowShare / 2);
}
