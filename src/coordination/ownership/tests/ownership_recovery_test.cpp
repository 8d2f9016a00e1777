#include <doctest/doctest.h>

#include "lease_simulation.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// A network without random message faults, so that only the faults of the
/// test take effect.
struct recovery_fixture {
  static constexpr duration FaultAt = 20s;

  lease_simulation simulate(const std::vector<simulated_fault> &Faults,
                            duration Length = 60s) const {
    lease_simulation Simulation({.Length = Length,
                                 .LossProbability = 0,
                                 .DuplicateProbability = 0,
                                 .SlowProbability = 0});
    for (const simulated_fault &Fault : Faults)
      Simulation.add(Fault);
    Simulation.run();
    CHECK_FALSE(Simulation.shardWithTwoOwners());
    return Simulation;
  }
};

} // namespace

TEST_CASE_FIXTURE(recovery_fixture,
                  "fleet_started_allShardsOwnedAfterFewWrites") {
  const lease_simulation Simulation = simulate({}, FaultAt);
  CHECK(Simulation.actingShards() == ShardCount);
  CHECK(Simulation.platformWrites() <= 12);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_removed_shardsTakenOver") {
  const lease_simulation Simulation = simulate(
      {{.Kind = fault_kind::Remove, .Vm = 1, .At = FaultAt, .Length = 60s}});
  CHECK(Simulation.actingShards(1) == 0);
  CHECK(Simulation.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_isolated_shardsTakenOver") {
  const lease_simulation Simulation = simulate(
      {{.Kind = fault_kind::Isolate, .Vm = 1, .At = FaultAt, .Length = 60s}});
  CHECK(Simulation.actingShards(1) == 0);
  CHECK(Simulation.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owners_platformDown_keepActing") {
  const lease_simulation Simulation = simulate(
      {{.Kind = fault_kind::PlatformDown, .At = FaultAt, .Length = 300s}},
      240s);
  CHECK(Simulation.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture,
                  "allVms_isolatedDuringPlatformOutage_leasesResume") {
  std::vector<simulated_fault> Faults = {
      {.Kind = fault_kind::PlatformDown, .At = FaultAt, .Length = 200s}};
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    Faults.push_back({.Kind = fault_kind::Isolate,
                      .Vm = Vm,
                      .At = FaultAt + 5s,
                      .Length = 20s});
  CHECK(simulate(Faults, 40s).actingShards() == 0);
  CHECK(simulate(Faults, 60s).actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "allVms_restartedAtOnce_allShardsOwned") {
  std::vector<simulated_fault> Faults;
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    Faults.push_back(
        {.Kind = fault_kind::Restart, .Vm = Vm, .At = FaultAt, .Length = 1s});
  CHECK(simulate(Faults, 90s).actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture,
                  "witnesses_restartedInTurn_ownersKeepActing") {
  std::vector<simulated_fault> Faults;
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    Faults.push_back({.Kind = fault_kind::Restart,
                      .Vm = Vm,
                      .At = FaultAt + Vm * 20s,
                      .Length = 1s});
  CHECK(simulate(Faults, 150s).actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture,
                  "owner_writeResponsesLost_claimsSettledByRead") {
  const lease_simulation Simulation = simulate(
      {{.Kind = fault_kind::LoseResponses, .At = 0s, .Length = 15s}}, 30s);
  CHECK(Simulation.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_leaving_shardsHandedOverAtOnce") {
  const lease_simulation Simulation = simulate(
      {{.Kind = fault_kind::Leave, .Vm = 2, .At = FaultAt, .Length = 30s}},
      FaultAt + 4s);
  CHECK(Simulation.actingShards(2) == 0);
  CHECK(Simulation.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture,
                  "owner_incomingMessagesLost_shardsTakenOver") {
  std::vector<simulated_fault> Faults;
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    if (Vm != 1)
      Faults.push_back({.Kind = fault_kind::CutOneWay,
                        .Vm = Vm,
                        .Other = 1,
                        .At = FaultAt,
                        .Length = 100s});
  const lease_simulation Simulation = simulate(Faults);
  CHECK(Simulation.actingShards(1) == 0);
  CHECK(Simulation.actingShards() == ShardCount);
}
