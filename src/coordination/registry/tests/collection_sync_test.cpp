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
  Sync.reached(7, true);
  CHECK(std::get<watch_step>(Sync.next()).After == 7);
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "next_afterFailure_listsInsteadOfWatching") {
  Sync.reached(7, true);
  Sync.failed();
  CHECK(std::holds_alternative<pause_step>(Sync.next()));
  CHECK(std::holds_alternative<list_step>(nextCall()));
}

TEST_CASE_FIXTURE(collection_sync_fixture, "next_historyGone_lists") {
  Sync.reached(7, true);
  Sync.historyGone();
  CHECK(std::holds_alternative<list_step>(nextCall()));
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "next_watchReturnedChanges_pausesFirst") {
  Sync.reached(7, true);
  Sync.reached(8, true);
  CHECK(std::holds_alternative<pause_step>(Sync.next()));
  CHECK(std::get<watch_step>(Sync.next()).After == 8);
}

TEST_CASE_FIXTURE(collection_sync_fixture, "next_manyFailures_pauseIsBounded") {
  for (int Count = 0; Count < 50; ++Count)
    Sync.failed();
  CHECK(std::get<pause_step>(Sync.next()).Delay <=
        sync_options{}.MaxRetryDelay);
}

TEST_CASE_FIXTURE(collection_sync_fixture, "relayed_contiguousRange_applied") {
  Sync.reached(7, true);
  CHECK(Sync.relayed({.After = 5, .Position = 9}) == relay_verdict::Apply);
  CHECK(Sync.position() == 9);
  CHECK(!Sync.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture, "relayed_rangeAlreadyRead_known") {
  Sync.reached(7, true);
  CHECK(Sync.relayed({.After = 5, .Position = 7}) == relay_verdict::Known);
}

TEST_CASE_FIXTURE(collection_sync_fixture, "relayed_gapBeforeRange_lists") {
  Sync.reached(7, true);
  CHECK(Sync.relayed({.After = 8, .Position = 9}) == relay_verdict::Missing);
  CHECK(std::holds_alternative<list_step>(nextCall()));
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "comparePositions_peersStayAhead_lists") {
  Sync.reached(7, true);
  Sync.othersReached(8);
  Sync.compareWithOthers();
  CHECK(!Sync.needsList());
  Sync.compareWithOthers();
  CHECK(Sync.needsList());
  Sync.reached(8, false);
  Sync.compareWithOthers();
  CHECK(!Sync.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture,
                  "comparePositions_changesArrived_keepsWatching") {
  Sync.reached(7, true);
  Sync.othersReached(8);
  Sync.compareWithOthers();
  CHECK(Sync.relayed({.After = 7, .Position = 8}) == relay_verdict::Apply);
  Sync.compareWithOthers();
  CHECK(!Sync.needsList());
}

TEST_CASE_FIXTURE(collection_sync_fixture, "accepts_olderThanCopy_refused") {
  Sync.reached(7, true);
  CHECK(Sync.accepts(7));
  CHECK(!Sync.accepts(6));
}
