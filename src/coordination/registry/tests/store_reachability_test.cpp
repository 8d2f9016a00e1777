#include "coordination/registry/store_reachability.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct store_reachability_fixture {
  /// Records calls for a collection that fail one after the other.
  void fail(fleet_collection Collection, unsigned Calls,
            bool WasAnswered = false) {
    for (unsigned Call = 1; Call <= Calls; ++Call)
      Store.recordFailure(Collection,
                          {.Failures = Call, .WasAnswered = WasAnswered});
  }

  fleet_collection probed() const {
    return Store.probed(fleet_collection::Configuration);
  }

  store_reachability Store{followedCollections(false)};
};

} // namespace

TEST_CASE_FIXTURE(store_reachability_fixture,
                  "recordFailure_secondInARow_unreachableUntilSuccess") {
  CHECK_FALSE(Store.isReachable());
  Store.recordSuccess(fleet_collection::Targets);
  CHECK(Store.isReachable());
  fail(fleet_collection::Targets, 1);
  CHECK(Store.isReachable());
  fail(fleet_collection::Targets, 2);
  CHECK_FALSE(Store.isReachable());
  CHECK(probed() == fleet_collection::Configuration);
  Store.recordSuccess(fleet_collection::Configuration);
  CHECK(Store.isReachable());
}

// Guards against a collection that cannot be read and stops all others.
TEST_CASE_FIXTURE(store_reachability_fixture,
                  "recordFailure_othersRead_storeStaysReachable") {
  fail(fleet_collection::Targets, 2);
  Store.recordSuccess(fleet_collection::Configuration);
  fail(fleet_collection::Targets, 20);
  CHECK(Store.isReachable());
  // The others still show an outage.
  fail(fleet_collection::Configuration, 2);
  CHECK_FALSE(Store.isReachable());
  // So does the collection, once it has been read again.
  Store.recordSuccess(fleet_collection::Targets);
  fail(fleet_collection::Targets, 2);
  CHECK_FALSE(Store.isReachable());
}

// Guards against a node that tries only the collection that cannot be read.
TEST_CASE_FIXTURE(store_reachability_fixture,
                  "probed_responseOfNoUse_otherCollection") {
  fail(fleet_collection::Configuration, 1, true);
  CHECK(probed() == fleet_collection::Targets);
  fail(fleet_collection::Targets, 1, true);
  CHECK(probed() == fleet_collection::Vms);
  fail(fleet_collection::Vms, 1, true);
  CHECK(probed() == fleet_collection::Configuration);
  Store.recordSuccess(fleet_collection::Configuration);
  CHECK(probed() == fleet_collection::Configuration);
}

// A store that does not respond is tried with the preferred collection, which
// shows first that it is back.
TEST_CASE_FIXTURE(store_reachability_fixture,
                  "probed_noResponse_preferredCollection") {
  fail(fleet_collection::Configuration, 5);
  CHECK(probed() == fleet_collection::Configuration);
}
