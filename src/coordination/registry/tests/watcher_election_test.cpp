#include "coordination/registry/watcher_election.h"

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

TEST_CASE_FIXTURE(watcher_election_fixture, "election_noReports_selfWatches") {
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
                  "election_allWatchersSilent_selfWatchesAtOnce") {
  report("first");
  report("second");
  CHECK(!Election.shouldSelfWatch(Now));
  Now += std::chrono::milliseconds(1'300);
  CHECK(Election.shouldSelfWatch(Now));
}

TEST_CASE_FIXTURE(watcher_election_fixture,
                  "election_storeUnreachableForAll_selfWatches") {
  report("first", false);
  report("second", false);
  CHECK(Election.shouldSelfWatch(Now));
  CHECK(Election.isStoreUnreachableForWatchers(Now));
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
