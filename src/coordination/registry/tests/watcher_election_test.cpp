#include "coordination/registry/watcher_election.h"

#include <algorithm>
#include <array>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct watcher_election_fixture {
  watcher_election_fixture() { Election.setRanking(Order); }

  void report(const char *Name, bool StoreResponds = true) {
    Election.recordReport(vm_name(Name), {.StoreResponds = StoreResponds}, Now);
  }

  std::array<vm_name, 4> Order{vm_name("first"), vm_name("second"),
                               vm_name("third"), vm_name("self")};
  instant Now{std::chrono::seconds(100)};
  watcher_election Election{vm_name("self")};
};

} // namespace

// After a start of all VMs, the first list of VMs is incomplete: a VM that took
// over at once would find itself first in the ranking, as all others would.
TEST_CASE_FIXTURE(watcher_election_fixture,
                  "election_noReports_selfWatchesAfterStartDelay") {
  CHECK(!Election.shouldSelfWatch(Now));
  const duration Wait = *Election.timeToTakeover(Now);
  CHECK(Wait > watcher_options{}.StartDelay);
  Now += Wait;
  CHECK(Election.shouldSelfWatch(Now));
  CHECK(Election.watchers(Now).empty());
}

TEST_CASE_FIXTURE(watcher_election_fixture,
                  "election_twoWatchersBefore_selfDoesNotWatch") {
  report("first");
  report("second");
  CHECK(!Election.shouldSelfWatch(Now));
  CHECK(Election.watchers(Now).front() == vm_name("first"));
}

TEST_CASE_FIXTURE(watcher_election_fixture,
                  "election_oneWatcherBefore_selfWaitsForStagger") {
  report("first");
  CHECK(!Election.shouldSelfWatch(Now));
  Now += std::chrono::milliseconds(800);
  report("first");
  CHECK(!Election.shouldSelfWatch(Now));
  Now += std::chrono::milliseconds(200);
  CHECK(Election.shouldSelfWatch(Now));
}

TEST_CASE_FIXTURE(watcher_election_fixture,
                  "election_allWatchersSilent_selfTakesOverAfterItsRank") {
  report("first");
  report("second");
  CHECK(!Election.shouldSelfWatch(Now));
  Now += std::chrono::milliseconds(1'300);
  CHECK(!Election.shouldSelfWatch(Now));
  Now += watcher_options{}.TakeoverStagger * 2;
  CHECK(Election.shouldSelfWatch(Now));
}

TEST_CASE_FIXTURE(watcher_election_fixture,
                  "election_storeUnreachableForAll_selfChecksAfterItsRank") {
  report("first", false);
  report("second", false);
  CHECK(!Election.shouldSelfWatch(Now));
  CHECK(Election.isStoreUnreachableForWatchers(Now));
  Now += watcher_options{}.TakeoverStagger * 2;
  CHECK(Election.shouldSelfWatch(Now));
}

TEST_CASE_FIXTURE(
    watcher_election_fixture,
    "isStoreUnreachableForWatchers_oneWatcherReachesStore_false") {
  report("first", false);
  report("second");
  CHECK(!Election.isStoreUnreachableForWatchers(Now));
}

TEST_CASE_FIXTURE(watcher_election_fixture,
                  "storeCheckPeriod_storeUnreachableForAll_growsWithRank") {
  report("first", false);
  const auto PeriodAt = [&](const char *Name) {
    watcher_election Other{vm_name(Name)};
    Other.setRanking(Order);
    return Other.storeCheckPeriod(Now);
  };
  CHECK(PeriodAt("first") == watcher_options{}.CheckPeriod);
  CHECK(PeriodAt("second") == watcher_options{}.CheckPeriod);
  CHECK(PeriodAt("third") > PeriodAt("second"));
  CHECK(Election.storeCheckPeriod(Now) > PeriodAt("third"));
  CHECK(PeriodAt("not-listed") == watcher_options{}.CheckPeriod);
}

TEST_CASE_FIXTURE(
    watcher_election_fixture,
    "storeCheckPeriod_otherWatcherReachesStore_usesPeriodWhileOthersWatch") {
  report("first");
  CHECK(Election.storeCheckPeriod(Now) ==
        watcher_options{}.CheckPeriodWhileOthersWatch);
}

TEST_CASE_FIXTURE(watcher_election_fixture, "report_unknownVm_ignored") {
  report("stranger");
  CHECK(Election.watchers(Now).empty());
}

namespace {

/// A data centre of many VMs that hear each other's reports after a delay.
struct large_data_centre_fixture {
  static constexpr std::size_t VmCount = 60;
  static constexpr std::chrono::milliseconds Step{10};

  large_data_centre_fixture() {
    for (std::size_t Index = 0; Index < VmCount; ++Index)
      Names.emplace_back("vm-" + std::to_string(Index));
    for (const vm_name &Name : Names) {
      Elections.emplace_back(Name);
      Elections.back().setRanking(Names);
    }
  }

  /// Lets \p Length pass. VMs below \p FirstAlive have ended; the store
  /// responds to those from \p FirstServed on. Watchers report at each step.
  /// \returns the largest number of watchers at one time.
  std::size_t run(duration Length, std::size_t FirstAlive,
                  std::size_t FirstServed) {
    std::size_t MaxWatchers = 0;
    for (const instant End = Now + Length; Now < End; Now += Step) {
      std::vector<std::size_t> Watchers;
      for (std::size_t Index = FirstAlive; Index < VmCount; ++Index)
        if (Elections[Index].shouldSelfWatch(Now))
          Watchers.push_back(Index);
      for (const std::size_t Sender : Watchers)
        for (std::size_t Index = FirstAlive; Index < VmCount; ++Index)
          Elections[Index].recordReport(
              Names[Sender], {.StoreResponds = Sender >= FirstServed}, Now);
      MaxWatchers = std::max(MaxWatchers, Watchers.size());
      Current = std::move(Watchers);
    }
    return MaxWatchers;
  }

  std::vector<vm_name> Names;
  std::vector<watcher_election> Elections;
  std::vector<std::size_t> Current;
  instant Now{std::chrono::seconds(100)};
};

} // namespace

// Pattern: both watchers of a large data centre end at the same moment. Each VM
// that takes over reads and watches all collections.
TEST_CASE_FIXTURE(large_data_centre_fixture,
                  "elections_bothWatchersEnd_fewVmsTakeOver") {
  CHECK(run(std::chrono::seconds(2), 0, 0) <= 3);
  REQUIRE(Current == std::vector<std::size_t>{0, 1});
  CHECK(run(std::chrono::seconds(3), 2, 2) <= 4);
  CHECK(Current == std::vector<std::size_t>{2, 3});
}

// Pattern: an outage of the store. The VMs that check whether it has returned
// do not grow with the data centre.
TEST_CASE_FIXTURE(large_data_centre_fixture,
                  "elections_outageOfStore_fewVmsCheck") {
  run(std::chrono::seconds(2), 0, 0);
  CHECK(run(std::chrono::seconds(1), 0, VmCount) <= 4);
  CHECK(run(std::chrono::seconds(4), 0, VmCount) <= 14);
  run(std::chrono::seconds(2), 0, 0);
  CHECK(Current == std::vector<std::size_t>{0, 1});
}

// Pattern: the store turns just those VMs away that check it for the others.
TEST_CASE_FIXTURE(large_data_centre_fixture,
                  "elections_storeServesLowerRanksOnly_theyTakeOver") {
  run(std::chrono::seconds(2), 0, 0);
  run(std::chrono::seconds(4), 0, 8);
  CHECK(std::ranges::count_if(
            Current, [](std::size_t Index) { return Index >= 8; }) >= 2);
}
