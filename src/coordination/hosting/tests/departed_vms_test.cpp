#include "coordination/hosting/departed_vms.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr duration MaxStopTime = 4s;

/// A VM, its neighbour and a VM of another data centre.
struct departed_vms_fixture {
  departed_vms_fixture() { list({Self, Neighbour, Remote}); }

  static ranked_vm vm(const std::string &Name, const std::string &DataCenter) {
    return {.Vm = {.Vm = vm_name(Name),
                   .DataCenter = data_center_name(DataCenter),
                   .Address = "10.0.0.1",
                   .PeerPort = 7101,
                   .Incarnation = {1}}};
  }

  void list(const std::vector<ranked_vm> &Vms) {
    Departed.setRegisteredVms(Vms, Now);
  }

  void hear(const ranked_vm &From) {
    Departed.recordMessage(From.Vm.Vm, From.Vm.Incarnation, Now);
  }

  bool isReachable(const ranked_vm &Vm) const {
    const auto Vms = Departed.reachable();
    return std::ranges::find(Vms, Vm.Vm) != Vms.end();
  }

  bool isRecipient(const ranked_vm &Vm) const {
    const auto Names = Departed.reportRecipients(Self.Vm.DataCenter, Now);
    return std::ranges::find(Names, Vm.Vm.Vm) != Names.end();
  }

  const ranked_vm Self = vm("a-1", "lakes-a");
  const ranked_vm Neighbour = vm("a-2", "lakes-a");
  const ranked_vm Remote = vm("b-1", "lakes-b");
  departed_vms Departed{Self.Vm.Vm, {.MaxStopTime = MaxStopTime}};
  instant Now{100s};
};

} // namespace

TEST_CASE_FIXTURE(departed_vms_fixture, "reachable_vmsRegistered_none") {
  CHECK(Departed.reachable().empty());
  CHECK(!isRecipient(Neighbour));
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reachable_entryRemoved_untilStopTimeIsOver") {
  list({Self});
  CHECK(isReachable(Neighbour));
  CHECK(isReachable(Remote));
  Now += MaxStopTime - 1ms;
  CHECK(!Departed.dropEnded(Now));
  CHECK(isReachable(Neighbour));
  Now += 1ms;
  CHECK(Departed.dropEnded(Now));
  CHECK(Departed.reachable().empty());
  CHECK(!Departed.dropEnded(Now));
}

// A process that goes on after its time must not keep its peers' links.
TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reachable_messagesContinue_untilStopTimeIsOver") {
  list({Self});
  Now += MaxStopTime;
  hear(Neighbour);
  CHECK(Departed.dropEnded(Now));
  CHECK(!isReachable(Neighbour));
  hear(Neighbour);
  CHECK(!isReachable(Neighbour));
}

// Each list names all VMs; a repeated one must not lengthen the time.
TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reachable_listRepeated_timeCountsFromRemoval") {
  list({Self});
  Now += 3s;
  list({Self});
  Now += 1s;
  CHECK(Departed.dropEnded(Now));
  CHECK(Departed.reachable().empty());
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reachable_shorterStopTimeSet_droppedEarlier") {
  list({Self});
  Now += 2s;
  Departed.setMaxStopTime(2s);
  CHECK(Departed.dropEnded(Now));
}

TEST_CASE_FIXTURE(departed_vms_fixture, "reachable_allVmsLeft_allButSelf") {
  list({});
  CHECK(Departed.reachable().size() == 2);
  CHECK(!isReachable(Self));
  CHECK(!isRecipient(Self));
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reachable_registeredAgain_noLongerDeparted") {
  list({Self, Remote});
  ranked_vm Successor = Neighbour;
  Successor.Vm.Incarnation = {2};
  Successor.Vm.Address = "10.0.0.2";
  list({Self, Remote, Successor});
  CHECK(Departed.reachable().empty());
  CHECK(!isRecipient(Neighbour));
  // The successor may stop, too.
  list({Self, Remote});
  CHECK(isReachable(Successor));
  CHECK(!isReachable(Neighbour));
}

// One change of the list may hold the removal and the new registration.
TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reachable_replacedInOneChange_neverDeparted") {
  ranked_vm Successor = Neighbour;
  Successor.Vm.Incarnation = {2};
  list({Self, Remote, Successor});
  CHECK(Departed.reachable().empty());
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reportRecipients_vmHeard_untilItIsSilent") {
  list({Self, Remote});
  CHECK(isRecipient(Neighbour));
  Now += 1s;
  hear(Neighbour);
  Now += 1'599ms;
  CHECK(isRecipient(Neighbour));
  Now += 1ms;
  CHECK(!isRecipient(Neighbour));
  // Its requests are still responded to.
  CHECK(isReachable(Neighbour));
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reportRecipients_earlierIncarnationHeard_ignored") {
  list({Self, Remote});
  Now += 1s;
  Departed.recordMessage(Neighbour.Vm.Vm, {0}, Now);
  Now += 600ms;
  CHECK(!isRecipient(Neighbour));
}

TEST_CASE_FIXTURE(departed_vms_fixture, "emptiedDataCenters_oneVmLeft_none") {
  const ranked_vm OtherRemote = vm("b-2", "lakes-b");
  list({Self, Neighbour, Remote, OtherRemote});
  list({Self, OtherRemote});
  CHECK(Departed.emptiedDataCenters().empty());
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "emptiedDataCenters_allVmsLeft_lastOnesUntilTheyEnd") {
  const ranked_vm First = vm("b-2", "lakes-b");
  const ranked_vm Last = vm("b-0", "lakes-b");
  list({Self, Neighbour, Remote, First, Last});
  list({Self, Neighbour, Remote, Last});
  Now += 1s;
  list({Self, Neighbour, Last});
  Now += 1s;
  list({Self, Neighbour});
  CHECK(Departed.emptiedDataCenters() ==
        std::vector<emptied_data_center>{
            {.DataCenter = Remote.Vm.DataCenter,
             .LastVms = {Last.Vm.Vm, Remote.Vm.Vm}}});
  Now += MaxStopTime - 1s;
  Departed.dropEnded(Now);
  CHECK(Departed.emptiedDataCenters() ==
        std::vector<emptied_data_center>{
            {.DataCenter = Remote.Vm.DataCenter, .LastVms = {Last.Vm.Vm}}});
  Now += 1s;
  Departed.dropEnded(Now);
  CHECK(Departed.emptiedDataCenters().empty());
}

TEST_CASE_FIXTURE(departed_vms_fixture,
                  "reportRecipients_otherDataCentre_none") {
  list({Self, Neighbour});
  CHECK(isReachable(Remote));
  CHECK(!isRecipient(Remote));
}
