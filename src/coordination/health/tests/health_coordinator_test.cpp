#include "coordination/health/health_coordinator.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr unsigned VmCount = 6;
constexpr unsigned TargetCount = 6;
constexpr unsigned FloorTargets = 3;

/// Coordinators that exchange messages in memory.
struct coordinator_fixture {
  coordinator_fixture() {
    fleet_configuration Declared{.Revision = {1}};
    Declared.Services.push_back({.Name = Service});
    for (unsigned Index = 0; Index < TargetCount; ++Index)
      Declared.Services[0].Targets.push_back({.Name = targetAt(Index)});
    Configuration = std::make_shared<configuration_index>(std::move(Declared));
    for (unsigned Index = 0; Index < VmCount; ++Index) {
      Members.Members.push_back(
          {.Vm = vmAt(Index), .DataCenter = dataCenterOf(Index)});
      Vms.emplace_back(health_coordinator_options{
          .Self = vmAt(Index), .DataCenter = dataCenterOf(Index)});
    }
    setOwner(0);
    for (unsigned Index = 0; Index < VmCount; ++Index)
      apply(Index, Vms[Index].configure(Configuration, fleetOf(Index)));
    advance(3s);
  }

  static vm_name vmAt(unsigned Index) {
    return vm_name("vm-" + std::to_string(Index));
  }
  static target_name targetAt(unsigned Index) {
    return target_name("hive-" + std::to_string(Index));
  }
  static data_center_name dataCenterOf(unsigned Index) {
    return data_center_name(std::string(1, static_cast<char>('a' + Index % 3)));
  }

  /// Makes a VM the owner in a new term; no VM if \p Index is out of range.
  void setOwner(unsigned Index) {
    ++Term;
    Owner = Index;
    auto &Shard = Map.Shards[shardOf(Service).Value];
    Shard.reset();
    if (Index < VmCount)
      Shard = shard_ownership{.Owner = {vmAt(Index), {1}}, .Epoch = {Term}};
  }

  health_context fleetOf(unsigned Index) {
    View.Map = Map;
    View.ActingUntil.clear();
    if (Index == Owner)
      View.ActingUntil[shardOf(Service)] = Now + 1s;
    return {.Ownership = View, .Members = Members, .Now = Now};
  }

  void apply(unsigned From, health_effects Effects) {
    Decisions.insert(Decisions.end(), Effects.Decisions.begin(),
                     Effects.Decisions.end());
    for (outgoing_health_message &Each : Effects.Messages) {
      for (unsigned To = 0; To < VmCount; ++To)
        if (vmAt(To) == Each.To && !ShouldDropMessage())
          apply(To, Vms[To].receive({vmAt(From), dataCenterOf(From)},
                                    Each.Message, fleetOf(To)));
    }
  }

  void advance(duration Time) {
    for (duration Elapsed{0}; Elapsed < Time; Elapsed += 500ms) {
      Now += 500ms;
      for (unsigned Index = 0; Index < VmCount; ++Index)
        apply(Index, Vms[Index].tick(fleetOf(Index)));
    }
  }

  /// Each observer sends ten requests to each target that serves for it. Half
  /// of the requests to failing targets get error responses.
  void sendTraffic(const std::vector<unsigned> &Observers,
                   const std::vector<unsigned> &FailingTargets) {
    for (const unsigned Index : Observers) {
      std::vector<attempt_observation> Attempts;
      for (unsigned Target = 0; Target < TargetCount; ++Target) {
        const bool Failing =
            std::ranges::find(FailingTargets, Target) != FailingTargets.end();
        for (int Count = 0; Count < 10; ++Count)
          if (conditionAt(Index, Target) == target_condition::Serving)
            Attempts.push_back({.Service = Service,
                                .Target = targetAt(Target),
                                .End = Failing && Count % 2 == 0
                                           ? attempt_end::RespondedError
                                           : attempt_end::Responded,
                                .Latency = 10ms});
      }
      apply(Index, Vms[Index].observe(Attempts, fleetOf(Index)));
    }
    advance(500ms);
  }

  /// A VM receives a response in which a target announces that it is draining.
  void observeDrainSignal(unsigned Vm, unsigned Target) {
    const std::vector<attempt_observation> Attempts{
        {.Service = Service,
         .Target = targetAt(Target),
         .Signal = target_signal::Draining}};
    apply(Vm, Vms[Vm].observe(Attempts, fleetOf(Vm)));
  }

  target_condition conditionAt(unsigned Vm, unsigned Target) {
    const auto Conditions = Vms[Vm].conditions(Now);
    const auto Found = Conditions.find(targetAt(Target));
    return Found == Conditions.end() ? target_condition::Serving
                                     : Found->second;
  }

  unsigned countVms(unsigned Target, target_condition Condition) {
    unsigned Count = 0;
    for (unsigned Vm = 0; Vm < VmCount; ++Vm)
      Count += conditionAt(Vm, Target) == Condition ? 1 : 0;
    return Count;
  }

  unsigned servingTargetsAt(unsigned Vm) {
    return TargetCount - static_cast<unsigned>(Vms[Vm].conditions(Now).size());
  }

  const std::vector<unsigned> AllVms{0, 1, 2, 3, 4, 5};
  const service_name Service{"hive"};
  configuration_ptr Configuration;
  membership_view Members;
  ownership_view View;
  shard_map Map;
  std::uint64_t Term = 0;
  unsigned Owner = 0;
  instant Now = instant{} + 1h;
  std::vector<health_coordinator> Vms;
  std::vector<service_decision> Decisions;
  std::function<bool()> ShouldDropMessage = [] { return false; };
};

} // namespace

TEST_CASE_FIXTURE(coordinator_fixture, "tick_failingTarget_ejectedByAllVms") {
  for (int Round = 0; Round < 4; ++Round)
    sendTraffic(AllVms, {2});
  CHECK(countVms(2, target_condition::Ejected) == VmCount);
  CHECK(countVms(1, target_condition::Serving) == VmCount);
}

TEST_CASE_FIXTURE(coordinator_fixture, "tick_newOwner_keepsVerdicts") {
  sendTraffic(AllVms, {});
  for (int Round = 0; Round < 4; ++Round)
    sendTraffic({1, 2, 3, 4}, {2}); // VM 5 reports no failures itself.
  REQUIRE(countVms(2, target_condition::Ejected) >= VmCount - 1);
  Vms[5] = health_coordinator(health_coordinator_options{
      .Self = vmAt(5), .DataCenter = dataCenterOf(5)});
  apply(5, Vms[5].configure(Configuration, fleetOf(5)));
  REQUIRE(conditionAt(5, 2) == target_condition::Serving);
  setOwner(5);
  advance(3s);
  CHECK(countVms(2, target_condition::Ejected) == VmCount);
}

TEST_CASE_FIXTURE(coordinator_fixture, "tick_noOwner_ejectsForOwnTrafficOnly") {
  setOwner(VmCount);
  for (const unsigned Failing : {2U, 3U, 4U, 5U})
    for (int Round = 0; Round < 4; ++Round)
      sendTraffic({1}, {Failing});
  CHECK(servingTargetsAt(1) == FloorTargets);
  CHECK(servingTargetsAt(0) == TargetCount);
  REQUIRE_FALSE(Decisions.empty());
  CHECK(Decisions[0].IsStandalone);
}

TEST_CASE_FIXTURE(coordinator_fixture,
                  "observe_drainSignal_allVmsDrainTarget") {
  sendTraffic(AllVms, {});
  observeDrainSignal(3, 4);
  CHECK(countVms(4, target_condition::Draining) == VmCount);
}

TEST_CASE_FIXTURE(coordinator_fixture,
                  "observe_drainSignalWithoutOwner_allVmsDrainTarget") {
  setOwner(VmCount);
  advance(1s);
  observeDrainSignal(3, 4);
  CHECK(countVms(4, target_condition::Draining) == VmCount);
}

TEST_CASE_FIXTURE(coordinator_fixture,
                  "observe_drainBeforeOwnerIsKnown_ownerDecidesLater") {
  setOwner(VmCount);
  advance(1s);
  observeDrainSignal(3, 4);
  setOwner(0);
  advance(3s);
  CHECK(std::ranges::any_of(Decisions, [](const service_decision &Each) {
    return !Each.IsStandalone &&
           std::holds_alternative<target_draining>(Each.Decision);
  }));
  CHECK(countVms(4, target_condition::Draining) == VmCount);
}

TEST_CASE_FIXTURE(coordinator_fixture, "receive_verdictsOfOlderTerm_ignored") {
  for (int Round = 0; Round < 4; ++Round)
    sendTraffic(AllVms, {2});
  REQUIRE(conditionAt(1, 2) == target_condition::Ejected);
  apply(1, Vms[1].receive(
               {vmAt(4), dataCenterOf(4)},
               service_verdicts{.Service = Service,
                                .Version = {.Epoch = {0}, .Number = 99}},
               fleetOf(1)));
  CHECK(conditionAt(1, 2) == target_condition::Ejected);
}

TEST_CASE("conditions_lossAndOwnerChanges_floorKeptAtEachVm") {
  CHECK(rc::check([] {
    coordinator_fixture Fixture;
    Fixture.ShouldDropMessage = [] { return *rc::gen::inRange(0, 4) == 0; };
    const auto Steps = *rc::gen::inRange(1, 15);
    for (int Step = 0; Step < Steps; ++Step) {
      if (*rc::gen::inRange(0, 4) == 0)
        Fixture.setOwner(*rc::gen::inRange(0U, VmCount + 1));
      Fixture.sendTraffic(Fixture.AllVms, {*rc::gen::inRange(0U, TargetCount),
                                           *rc::gen::inRange(0U, TargetCount)});
      for (unsigned Vm = 0; Vm < VmCount; ++Vm)
        RC_ASSERT(Fixture.servingTargetsAt(Vm) >= FloorTargets);
    }
  }));
}
