#include <doctest/doctest.h>

#include "lease_schedule.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// A quiet network, so that only the fault of the test matters.
struct recovery_fixture {
  static constexpr duration FaultAt = 20s;

  lease_schedule scheduleWith(const std::vector<schedule_fault> &Faults,
                              duration Length = 60s) const {
    lease_schedule Schedule(
        {.Length = Length, .LossShare = 0, .DoubleShare = 0, .SlowShare = 0});
    for (const schedule_fault &Fault : Faults)
      Schedule.add(Fault);
    Schedule.run();
    CHECK_FALSE(Schedule.doubleOwner());
    return Schedule;
  }
};

} // namespace

TEST_CASE_FIXTURE(recovery_fixture, "fleet_started_allShardsOwnedInFewWrites") {
  const lease_schedule Schedule = scheduleWith({}, FaultAt);
  CHECK(Schedule.actingShards() == ShardCount);
  CHECK(Schedule.platformWrites() <= 12);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_removed_shardsTakenOver") {
  const lease_schedule Schedule = scheduleWith(
      {{.Kind = fault_kind::Remove, .Vm = 1, .At = FaultAt, .Length = 60s}});
  CHECK(Schedule.actingShards(1) == 0);
  CHECK(Schedule.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_isolated_stopsAndIsReplaced") {
  const lease_schedule Schedule = scheduleWith(
      {{.Kind = fault_kind::Isolate, .Vm = 1, .At = FaultAt, .Length = 60s}});
  CHECK(Schedule.actingShards(1) == 0);
  CHECK(Schedule.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_platformDown_keepsActing") {
  const lease_schedule Schedule = scheduleWith(
      {{.Kind = fault_kind::PlatformDown, .At = FaultAt, .Length = 300s}},
      240s);
  CHECK(Schedule.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "network_cutDuringOutage_leasesResume") {
  std::vector<schedule_fault> Faults = {
      {.Kind = fault_kind::PlatformDown, .At = FaultAt, .Length = 200s}};
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    Faults.push_back({.Kind = fault_kind::Isolate,
                      .Vm = Vm,
                      .At = FaultAt + 5s,
                      .Length = 20s});
  CHECK(scheduleWith(Faults, 40s).actingShards() == 0);
  CHECK(scheduleWith(Faults, 60s).actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "allVms_restartedAtOnce_allShardsOwned") {
  std::vector<schedule_fault> Faults;
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    Faults.push_back(
        {.Kind = fault_kind::Restart, .Vm = Vm, .At = FaultAt, .Length = 1s});
  CHECK(scheduleWith(Faults, 90s).actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "witnesses_restartedInTurn_ownersActOn") {
  std::vector<schedule_fault> Faults;
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    Faults.push_back({.Kind = fault_kind::Restart,
                      .Vm = Vm,
                      .At = FaultAt + Vm * 20s,
                      .Length = 1s});
  CHECK(scheduleWith(Faults, 150s).actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_answersLost_settledByReadingBack") {
  const lease_schedule Schedule = scheduleWith(
      {{.Kind = fault_kind::LoseAnswers, .At = 0s, .Length = 15s}}, 30s);
  CHECK(Schedule.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_leaving_shardsHandedOverAtOnce") {
  const lease_schedule Schedule = scheduleWith(
      {{.Kind = fault_kind::Leave, .Vm = 2, .At = FaultAt, .Length = 30s}},
      FaultAt + 4s);
  CHECK(Schedule.actingShards(2) == 0);
  CHECK(Schedule.actingShards() == ShardCount);
}

TEST_CASE_FIXTURE(recovery_fixture, "owner_answersCutOneWay_isReplaced") {
  std::vector<schedule_fault> Faults;
  for (std::size_t Vm = 0; Vm < 5; ++Vm)
    if (Vm != 1)
      Faults.push_back({.Kind = fault_kind::CutOneWay,
                        .Vm = Vm,
                        .Other = 1,
                        .At = FaultAt,
                        .Length = 100s});
  const lease_schedule Schedule = scheduleWith(Faults);
  CHECK(Schedule.actingShards(1) == 0);
  CHECK(Schedule.actingShards() == ShardCount);
}
