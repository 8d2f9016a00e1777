#include "coordination/hosting/host_election.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct host_election_fixture {
  host_election_fixture() { Election.setSelfReady(true); }

  static ranked_vm make(const char *Name, std::uint64_t Rank,
                        const char *DataCenter = "lakes-a") {
    return {
        .Vm = {.Vm = vm_name(Name), .DataCenter = data_center_name(DataCenter)},
        .Rank = Rank};
  }

  void receiveReport(const char *Name,
                     const host_report &Report = {.Ready = true}) {
    Election.recordReport(vm_name(Name), Report, Now);
  }

  void receiveRemoteReport(const std::vector<const char *> &Names) {
    data_center_report Report{.DataCenter = data_center_name("lakes-b")};
    for (const char *Name : Names)
      Report.Hosts.emplace_back(Name);
    Election.recordReport(Report, Now);
  }

  std::string hosts(const char *DataCenter = "lakes-a") const {
    std::string Names;
    for (const registered_vm &Vm :
         Election.hosts(data_center_name(DataCenter), Now))
      Names += Vm.Vm.str() + " ";
    return Names;
  }

  instant Now{std::chrono::seconds(100)};
  host_election Election{vm_name("self"), data_center_name("lakes-a")};
  std::vector<ranked_vm> Vms{make("first", 1), make("second", 2),
                             make("third", 3), make("self", 4),
                             make("far", 5, "lakes-b")};
};

} // namespace

TEST_CASE_FIXTURE(host_election_fixture,
                  "hosts_withinGracePeriod_firstRegistered") {
  Election.setRegisteredVms(Vms, Now);
  CHECK(hosts() == "first second ");
  CHECK(!Election.isSelfReporter(Now));
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_oneSilent_replacedByNext") {
  Election.setRegisteredVms(Vms, Now);
  receiveReport("first");
  receiveReport("second");
  receiveReport("third");
  Now += std::chrono::milliseconds(1'700);
  receiveReport("second");
  receiveReport("third");
  CHECK(hosts() == "second third ");
  CHECK(Election.isSelfReporter(Now));
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_oneLeaving_replacedByNext") {
  Election.setRegisteredVms(Vms, Now);
  receiveReport("first", {.Ready = true, .Leaving = true});
  CHECK(hosts() == "second third ");
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_allOthersSilent_selfIsHost") {
  Election.setRegisteredVms(Vms, Now);
  Now += std::chrono::seconds(10);
  CHECK(hosts() == "self ");
  CHECK(Election.isSelfHost(Now));
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_unknownDataCenter_ownHosts") {
  Election.setRegisteredVms(Vms, Now);
  CHECK(hosts("nowhere") == "first second ");
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_highRate_moreHosts") {
  Election.setRegisteredVms(Vms, Now);
  receiveReport("first", {.Ready = true, .RequestsPerSecond = 110});
  Election.fitHostCount(Now);
  CHECK(hosts() == "first second third ");
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_rateFluctuates_numberStays") {
  Election.setRegisteredVms(Vms, Now);
  for (int Second = 0; Second < 30; ++Second) {
    Now += std::chrono::seconds(1);
    const double Rate = Second % 4 == 0 ? 82 : 70;
    receiveReport("first", {.Ready = true, .RequestsPerSecond = Rate});
    receiveReport("second");
    receiveReport("third");
    Election.fitHostCount(Now);
    CHECK(hosts() == "first second third ");
  }
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_rateStaysLow_fewerHosts") {
  Election.setRegisteredVms(Vms, Now);
  receiveReport("first", {.Ready = true, .RequestsPerSecond = 110});
  Election.fitHostCount(Now);
  for (int Second = 0; Second < 12; ++Second) {
    Now += std::chrono::seconds(1);
    for (const char *Name : {"first", "second", "third"})
      receiveReport(Name, {.Ready = true, .RequestsPerSecond = 5});
    Election.fitHostCount(Now);
  }
  CHECK(hosts() == "first second ");
}

TEST_CASE_FIXTURE(host_election_fixture,
                  "hosts_firstHasLowCapacity_rankedLast") {
  Vms[0].Vm.MaxRequestsPerSecond = 25;
  Election.setRegisteredVms(Vms, Now);
  CHECK(hosts() == "second third ");
}

TEST_CASE_FIXTURE(host_election_fixture, "hosts_allHaveLowCapacity_moreHosts") {
  for (ranked_vm &Each : Vms)
    Each.Vm.MaxRequestsPerSecond = 25;
  Election.setRegisteredVms(Vms, Now);
  receiveReport("first", {.Ready = true, .RequestsPerSecond = 70});
  Election.fitHostCount(Now);
  CHECK(hosts() == "first second third ");
}

TEST_CASE("capacityOf_fewCoresOrSmallLink_boundedBySmaller") {
  CHECK(capacityOf({.Cores = 1, .LinkMegabits = 10}) < 40);
  CHECK(capacityOf({.Cores = 0.05, .LinkMegabits = 1'000}) < 40);
  CHECK(capacityOf({.Cores = 0.2, .LinkMegabits = 1'000}) > 40);
}

TEST_CASE_FIXTURE(host_election_fixture, "stableHosts_highRate_unchanged") {
  Election.setRegisteredVms(Vms, Now);
  const data_center_name Own("lakes-a");
  const auto Before = Election.stableHosts(Own, Now);
  receiveReport("first", {.Ready = true, .RequestsPerSecond = 110});
  Election.fitHostCount(Now);
  CHECK(Election.stableHosts(Own, Now) == Before);
  CHECK(Before.size() == 2);
}

TEST_CASE_FIXTURE(host_election_fixture,
                  "hosts_remoteReportReceived_asReported") {
  Vms.push_back(make("far-2", 6, "lakes-b"));
  Vms.push_back(make("far-3", 7, "lakes-b"));
  Election.setRegisteredVms(Vms, Now);
  Now += std::chrono::seconds(10);
  receiveRemoteReport({"far-3", "gone", "far"});
  CHECK(hosts("lakes-b") == "far-3 far ");
  CHECK(Election.stableHosts(data_center_name("lakes-b"), Now) ==
        std::vector{vm_name("far-3"), vm_name("far")});
}

TEST_CASE_FIXTURE(host_election_fixture,
                  "hosts_remoteDataCenterSilent_ownHostsAndStillReportedTo") {
  Election.setRegisteredVms(Vms, Now);
  Now += std::chrono::seconds(10);
  receiveRemoteReport({"far"});
  Now += std::chrono::seconds(5);
  receiveReport("first");
  const data_center_name Remote("lakes-b");
  CHECK(hosts("lakes-b") == "first self ");
  CHECK(Election.stableHosts(Remote, Now).empty());
  CHECK(Election.reportRecipients(Remote, Now) == std::vector{vm_name("far")});
}

TEST_CASE_FIXTURE(host_election_fixture,
                  "hosts_reportOfOwnDataCenter_ignored") {
  Election.setRegisteredVms(Vms, Now);
  Election.recordReport(
      {.DataCenter = data_center_name("lakes-a"), .Hosts = {vm_name("third")}},
      Now);
  CHECK(hosts() == "first second ");
}

TEST_CASE_FIXTURE(host_election_fixture,
                  "setRegisteredVms_vmRestarted_rankedByNewIncarnation") {
  Election.setRegisteredVms(Vms, Now);
  receiveReport("first", {.Ready = true, .Leaving = true});
  Vms[0].Rank = 9;
  Vms[0].Vm.Incarnation = {2};
  Election.setRegisteredVms(Vms, Now);
  CHECK(hosts() == "second third ");
}

// Guards against hosts of this data centre that are counted again in place of
// those of a data centre without reports.
TEST_CASE_FIXTURE(host_election_fixture,
                  "fleetHosts_silentDataCenter_lastHostsCountedOnce") {
  Election.setRegisteredVms(
      std::vector<ranked_vm>{
          make("self", 1), make("other", 2), make("far-1", 3, "lakes-b"),
          make("far-2", 4, "lakes-b"), make("far-3", 5, "lakes-b")},
      Now);
  receiveReport("other");
  receiveRemoteReport({"far-1", "far-2", "far-3"});
  CHECK(Election.fleetHosts(Now).Hosts.size() == 5);
  CHECK(Election.fleetHosts(Now).StableHosts.size() == 4);
  Now += std::chrono::seconds(5);
  receiveReport("other");
  const fleet_hosts Fleet = Election.fleetHosts(Now);
  CHECK(Fleet.Hosts == std::vector<vm_name>{vm_name("self"), vm_name("other")});
  CHECK(Fleet.SilentHostCount == 3);
  CHECK(Fleet.count() == 5);
}
