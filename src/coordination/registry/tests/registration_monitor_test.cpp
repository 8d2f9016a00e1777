#include "coordination/registry/registration_monitor.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

/// A process that has registered at revision 20.
struct registration_monitor_fixture {
  registration_monitor_fixture() { Monitor.recordConfirmed(20); }

  static std::optional<listed_registration> entry(std::uint64_t Incarnation,
                                                  std::uint64_t Revision) {
    return listed_registration{.Incarnation = incarnation{Incarnation},
                               .Revision = Revision};
  }

  registration_monitor Monitor{incarnation{5}};
};

} // namespace

TEST_CASE_FIXTURE(registration_monitor_fixture,
                  "recordListed_ownEntry_validWithItsRevision") {
  CHECK(Monitor.recordListed(entry(5, 23), 30) == registration_state::Valid);
  CHECK(Monitor.revision() == 23);
}

// Guards against a VM that stays out of service because a removal by its
// earlier process was carried out after it had registered.
TEST_CASE_FIXTURE(registration_monitor_fixture,
                  "recordListed_entryRemovedAfterRegistration_lost") {
  CHECK(Monitor.recordListed(std::nullopt, 21) == registration_state::Lost);
}

TEST_CASE_FIXTURE(registration_monitor_fixture,
                  "recordListed_entryOfEarlierProcessAfterwards_lost") {
  CHECK(Monitor.recordListed(entry(4, 21), 21) == registration_state::Lost);
}

TEST_CASE_FIXTURE(registration_monitor_fixture,
                  "recordListed_copyFromBeforeRegistration_valid") {
  CHECK(Monitor.recordListed(std::nullopt, 19) == registration_state::Valid);
  CHECK(Monitor.recordListed(entry(4, 12), 19) == registration_state::Valid);
}

TEST_CASE_FIXTURE(registration_monitor_fixture,
                  "recordListed_entryOfLaterProcess_replaced") {
  CHECK(Monitor.recordListed(entry(6, 25), 25) == registration_state::Replaced);
  CHECK(Monitor.revision() == 20);
}

TEST_CASE("recordListed_notRegisteredYet_valid") {
  registration_monitor Monitor(incarnation{5});
  CHECK(Monitor.recordListed(std::nullopt, 50) == registration_state::Valid);
  CHECK(!Monitor.revision());
}
