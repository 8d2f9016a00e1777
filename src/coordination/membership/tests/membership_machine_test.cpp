#include "coordination/membership/membership_machine.h"

#include <algorithm>
#include <functional>
#include <memory>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

using std::chrono::milliseconds;

/// Machines of one fleet, connected by links that a test can cut in one
/// direction.
struct membership_fixture {
  static constexpr int VmCount = 12;
  std::vector<member> Members;
  std::vector<std::unique_ptr<membership_machine>> Machines;
  std::vector<bool> Running = std::vector<bool>(VmCount, true);
  std::vector<bool> Leaving = std::vector<bool>(VmCount, false);
  std::function<bool(int From, int To)> IsCut = [](int, int) { return false; };
  instant Now{std::chrono::hours(1)};
  std::size_t SentHeartbeats = 0;
  std::size_t SuspectedEvents = 0;
  std::size_t TrustedEvents = 0;

  membership_fixture() {
    for (int Index = 0; Index < VmCount; ++Index)
      Members.push_back({.Vm = vm_name("vm-" + std::to_string(Index)),
                         .DataCenter = data_center_name(std::string(
                             1, static_cast<char>('a' + Index % 3)))});
    for (int Index = 0; Index < VmCount; ++Index) {
      Machines.push_back(std::make_unique<membership_machine>(
          membership_options{.Self = {name(Index), {100}},
                             .DataCenter = Members[index(Index)].DataCenter}));
      Machines.back()->handle(vm_list_read{Members}, Now);
    }
  }

  static std::size_t index(int Value) {
    return static_cast<std::size_t>(Value);
  }
  vm_name name(int Index) const { return Members[index(Index)].Vm; }
  int numberOf(const vm_name &Vm) const {
    return static_cast<int>(std::ranges::find(Members, Vm, &member::Vm) -
                            Members.begin());
  }

  void deliver(int From, const membership_machine::effects &Effects) {
    for (const membership_effect &Effect : Effects) {
      SuspectedEvents += std::holds_alternative<vm_suspected>(Effect) ? 1 : 0;
      TrustedEvents += std::holds_alternative<vm_trusted>(Effect) ? 1 : 0;
      const auto *Send = std::get_if<send_heartbeat>(&Effect);
      if (!Send)
        continue;
      ++SentHeartbeats;
      const int To = numberOf(Send->Peer);
      if (!Running[index(To)] || IsCut(From, To))
        continue;
      deliver(To, Machines[index(To)]->handle(
                      heartbeat_received{{name(From), {100}}, Send->Heartbeat},
                      Now));
    }
  }

  void run(int Periods) {
    for (int Period = 0; Period < Periods; ++Period) {
      Now += milliseconds(1'000);
      for (int Vm = 0; Vm < VmCount; ++Vm)
        if (Running[index(Vm)])
          deliver(Vm, Machines[index(Vm)]->handle(
                          heartbeat_due{.Leaving = Leaving[index(Vm)]}, Now));
    }
  }

  member memberSeenBy(int By, int Vm) const {
    return Machines[index(By)]->view().Members[index(Vm)];
  }
};

} // namespace

TEST_CASE_FIXTURE(membership_fixture, "fleet_allRunning_noneSuspected") {
  run(20);
  CHECK(SuspectedEvents == 0);
  CHECK(SentHeartbeats == 20U * VmCount * 5);
}

TEST_CASE_FIXTURE(membership_fixture,
                  "vm_silent_suspectedByAllUntilHeartbeatsResume") {
  run(3);
  Running[4] = false;
  run(12);
  for (int Vm = 0; Vm < VmCount; ++Vm)
    if (Vm != 4)
      CHECK(memberSeenBy(Vm, 4).Suspected);
  CHECK_FALSE(memberSeenBy(0, 5).Suspected);
  Running[4] = true;
  run(14);
  for (int Vm = 0; Vm < VmCount; ++Vm)
    CHECK_FALSE(memberSeenBy(Vm, 4).Suspected);
  CHECK(TrustedEvents > 0);
}

TEST_CASE_FIXTURE(membership_fixture,
                  "link_cutOneWay_reportedSilentButNotSuspected") {
  run(3);
  const int To =
      numberOf(chooseHeartbeatPeers(name(0), Members[0].DataCenter, Members, {})
                   .front());
  IsCut = [To](int From, int Receiver) { return From == 0 && Receiver == To; };
  run(12);
  const membership_view View = Machines[1]->view();
  CHECK(View.SilentLinks ==
        std::vector<silent_link>{{.From = name(0), .To = name(To)}});
  CHECK(SuspectedEvents == 0);
}

TEST_CASE_FIXTURE(membership_fixture, "vm_leaving_knownToAllBeforeNextPeriod") {
  run(3);
  Leaving[2] = true;
  deliver(2, Machines[2]->handle(heartbeat_due{.Leaving = true}, Now));
  for (int Vm = 0; Vm < VmCount; ++Vm)
    CHECK(memberSeenBy(Vm, 2).Leaving);
}

TEST_CASE_FIXTURE(membership_fixture,
                  "vm_restartedAfterLeaving_oldLeavingIgnored") {
  run(3);
  const heartbeat Late{.Leaving = true};
  Machines[1]->handle(heartbeat_received{{name(2), {101}}, {}}, Now);
  Machines[1]->handle(heartbeat_received{{name(2), {100}}, Late}, Now);
  CHECK_FALSE(memberSeenBy(1, 2).Leaving);
  CHECK(memberSeenBy(1, 2).Incarnation == incarnation{101});
}

TEST_CASE_FIXTURE(membership_fixture, "observer_paused_reportsNoSilentLinks") {
  run(3);
  Running[6] = false;
  run(3);
  Now += std::chrono::seconds(60);
  Running[6] = true;
  deliver(6, Machines[6]->handle(heartbeat_due{}, Now));
  const auto Links = Machines[6]->view().SilentLinks;
  CHECK(std::ranges::none_of(
      Links, [&](const silent_link &Link) { return Link.To == name(6); }));
}
