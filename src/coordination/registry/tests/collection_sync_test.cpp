#include "coordination/registry/collection_sync.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct collection_sync_fixture {
  /// Returns the next step that is not a pause.
  sync_step nextCall() {
    sync_step Step = Sync.next();
    while (std::holds_alternative<pause_step>(Step))
      Step = Sync.next();
    return Step;
  }

  collection_sync Sync;
};

} // namespace

TEST_CASE_FIXTURE(collection_sync_fixture, "next_firstCall_lists") {
  CHECK(std::holds_alternative<list_step>(Sync.next()));
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "next_afterList_watchesFromListedPosition") {
  Sync.recordPosition(7, true);
  CHECK(std::get<watch_step>(Sync.next()).After == 7);
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "next_afterFailure_listsInsteadOfWatching") {
  Sync.recordPosition(7, true);
  Sync.recordFailure();
  CHECK(std::holds_alternative<pause_step>(Sync.next()));
  CHECK(std::holds_alternative<list_step>(nextCall()));
}

TEST_CASE_FIXTURE(collection_sync_fixture, "next_historyGone_lists") {
  Sync.recordPosition(7, true);
  Sync.recordHistoryGone();
  CHECK(std::holds_alternative<list_step>(nextCall()));
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "next_watchReturnedChanges_pausesFirst") {
  Sync.recordPosition(7, true);
  Sync.recordPosition(8, true);
  CHECK(std::holds_alternative<pause_step>(Sync.next()));
  CHECK(std::get<watch_step>(Sync.next()).After == 8);
}

TEST_CASE_FIXTURE(collection_sync_fixture, "next_manyFailures_pauseIsBounded") {
  for (int Count = 0; Count < 50; ++Count)
    Sync.recordFailure();
  CHECK(std::get<pause_step>(Sync.next()).Delay <=
        sync_options{}.MaxRetryDelay);
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "acceptRelayed_contiguousRange_applied") {
  Sync.recordPosition(7, true);
  CHECK(Sync.acceptRelayed({.After = 5, .Position = 9}) ==
        relay_decision::Apply);
  CHECK(Sync.position() == 9);
  CHECK(!Sync.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "acceptRelayed_rangeAlreadyRead_known") {
  Sync.recordPosition(7, true);
  CHECK(Sync.acceptRelayed({.After = 5, .Position = 7}) ==
        relay_decision::Known);
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "acceptRelayed_gapBeforeRange_lists") {
  Sync.recordPosition(7, true);
  CHECK(Sync.acceptRelayed({.After = 8, .Position = 9}) ==
        relay_decision::Missing);
  CHECK(std::holds_alternative<list_step>(nextCall()));
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "compareWithPeers_peersStayAhead_lists") {
  Sync.recordPosition(7, true);
  Sync.recordPeerChange(8);
  Sync.compareWithPeers();
  CHECK(!Sync.needsList());
  Sync.compareWithPeers();
  CHECK(Sync.needsList());
  Sync.recordPosition(8, false);
  Sync.compareWithPeers();
  CHECK(!Sync.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "compareWithPeers_changesArrived_keepsWatching") {
  Sync.recordPosition(7, true);
  Sync.recordPeerChange(8);
  Sync.compareWithPeers();
  CHECK(Sync.acceptRelayed({.After = 7, .Position = 8}) ==
        relay_decision::Apply);
  Sync.compareWithPeers();
  CHECK(!Sync.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture, "accepts_olderThanCopy_refused") {
  Sync.recordPosition(7, true);
  CHECK(Sync.accepts(7));
  CHECK(!Sync.accepts(6));
}

// Guards against VMs that list again and again because each list moves their
// positions, although nothing has changed.
TEST_CASE_FIXTURE(collection_sync_fixture,
                  "lastChange_readWithoutChanges_staysTheSame") {
  Sync.recordPosition(7, true);
  Sync.recordPosition(9, false);
  CHECK(Sync.position() == 9);
  CHECK(Sync.lastChange() == 7);
  collection_sync Other;
  Other.recordPosition(8, false);
  Other.recordPeerChange(Sync.lastChange());
  Other.compareWithPeers();
  Other.compareWithPeers();
  CHECK(!Other.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "acceptSnapshot_copyIncomplete_completeUpToSnapshot") {
  CHECK(Sync.acceptRelayed({.After = 5, .Position = 9}) ==
        relay_decision::Missing);
  CHECK(Sync.acceptSnapshot(12, 9));
  CHECK(!Sync.needsList());
  CHECK(Sync.position() == 12);
  CHECK(Sync.lastChange() == 9);
  CHECK(!Sync.acceptSnapshot(11, 9));
}

// Guards against a list that lacks entries and hides removals from then on.
TEST_CASE_FIXTURE(collection_sync_fixture,
                  "recordPartialList_firstList_followsChangesAndListsLater") {
  Sync.recordPartialList(7);
  CHECK(Sync.isPartial());
  for (unsigned Result = 0; Result < sync_options{}.ResultsPerPartialList;
       ++Result) {
    CHECK(std::get<watch_step>(nextCall()).After == 7);
    Sync.recordPosition(7, false);
  }
  CHECK(std::holds_alternative<list_step>(nextCall()));
  Sync.recordList(9, true);
  CHECK_FALSE(Sync.isPartial());
  CHECK(std::get<watch_step>(nextCall()).After == 9);
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "recordPartialList_earlierCopy_followsFromItsPosition") {
  Sync.recordList(7, true);
  Sync.recordFailure();
  Sync.recordPartialList(12);
  CHECK(std::get<watch_step>(nextCall()).After == 7);
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "recordPartialList_changesRelayed_listsLater") {
  Sync.recordPartialList(7);
  for (std::uint64_t Result = 1; Result <= sync_options{}.ResultsPerPartialList;
       ++Result) {
    CHECK_FALSE(Sync.needsList());
    Sync.acceptRelayed({.After = 7, .Position = 7 + Result});
  }
  CHECK(Sync.needsList());
}
