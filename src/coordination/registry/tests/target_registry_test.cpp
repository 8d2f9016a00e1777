#include "coordination/registry/target_registry.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct target_registry_fixture {
  target_registry_fixture() {
    Registry.handle(store_available{.Since = instant{}}, Now);
  }

  static registered_target make(const char *Name,
                                target_phase Phase = target_phase::Ready) {
    return {.Target = {.Name = target_name(Name)},
            .Service = service_name("hive"),
            .Phase = Phase};
  }

  std::size_t inUse() const {
    const target_table Table = Registry.table();
    const auto Found = Table.find(service_name("hive"));
    return Found == Table.end() ? 0 : Found->second.size();
  }

  void advance(std::chrono::milliseconds Time) { Now += Time; }

  instant Now{std::chrono::seconds(100)};
  target_registry Registry;
};

} // namespace

TEST_CASE_FIXTURE(target_registry_fixture, "handle_draining_notInUse") {
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  CHECK(
      Registry.handle(target_changed{make("a", target_phase::Draining)}, Now));
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_removedWhileStoreAvailable_removedAtOnce") {
  Registry.handle(targets_listed{{make("a")}}, Now);
  CHECK(Registry.handle(target_removed{target_name("a")}, Now));
  CHECK(inUse() == 0);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_missingAfterOutage_keptForGracePeriod") {
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  Registry.handle(store_unavailable{}, Now);
  advance(std::chrono::seconds(30));
  Registry.handle(store_available{.Since = Now}, Now);
  Registry.handle(targets_listed{{make("a")}}, Now);
  CHECK(inUse() == 2);
  advance(std::chrono::milliseconds(1'700));
  CHECK(!Registry.expire(Now));
  advance(std::chrono::milliseconds(200));
  CHECK(Registry.expire(Now));
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_renewedAfterOutage_staysInUse") {
  Registry.handle(targets_listed{{make("a")}}, Now);
  Registry.handle(store_unavailable{}, Now);
  Registry.handle(store_available{.Since = Now}, Now);
  Registry.handle(targets_listed{{}}, Now);
  Registry.handle(target_changed{make("a")}, Now);
  advance(std::chrono::seconds(10));
  CHECK(!Registry.expire(Now));
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_drainingMissingAfterOutage_removedAtOnce") {
  Registry.handle(targets_listed{{make("a", target_phase::Draining)}}, Now);
  Registry.handle(store_available{.Since = Now}, Now);
  Registry.handle(target_removed{target_name("a")}, Now);
  CHECK(Registry.size() == 0);
}

// Guards against a target that has left staying in use because this VM took its
// own lost connection for an outage of the store.
TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_keptButStoreWasAvailableAllAlong_expiresAtOnce") {
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  Registry.handle(store_unavailable{}, Now);
  Registry.handle(targets_listed{{make("a")}}, Now);
  Registry.handle(store_available{.Since = Now}, Now);
  CHECK(!Registry.expire(Now));
  Registry.handle(store_available{.Since = Now - std::chrono::seconds(30)},
                  Now);
  CHECK(Registry.expire(Now));
  CHECK(inUse() == 1);
}

// A target says in its responses that it leaves. Its entry may say so later, or
// never, and an older state of the entry must not bring it back.
TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_leavingBeforeEntrySaysSo_notInUse") {
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  CHECK(Registry.handle(target_leaving{target_name("a")}, Now));
  CHECK(!Registry.handle(target_leaving{target_name("a")}, Now));
  CHECK(inUse() == 1);
  REQUIRE(!Registry.takeDecisions().empty());
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_readyEntryOfSameProcessAfterLeaving_notInUse") {
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  Registry.handle(target_leaving{target_name("a")}, Now);
  Registry.handle(target_changed{make("a")}, Now);
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_leavingWhileStoreUnavailable_notInUse") {
  Registry.handle(targets_listed{{make("a"), make("b")}}, Now);
  Registry.handle(store_unavailable{}, Now);
  Registry.handle(target_leaving{target_name("a")}, Now);
  Registry.handle(targets_listed{{make("b")}}, Now);
  CHECK(inUse() == 1);
  Registry.handle(target_changed{make("a")}, Now);
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_drainingThenLeavingThenReady_notInUse") {
  Registry.handle(targets_listed{{make("a", target_phase::Draining)}}, Now);
  Registry.handle(target_leaving{target_name("a")}, Now);
  Registry.handle(target_changed{make("a")}, Now);
  CHECK(inUse() == 0);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_laterProcessUnderSameName_inUse") {
  Registry.handle(targets_listed{{make("a")}}, Now);
  Registry.handle(target_leaving{target_name("a")}, Now);
  registered_target Restarted = make("a");
  Restarted.StartedAt = 5;
  CHECK(Registry.handle(target_changed{Restarted}, Now));
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_removedAndRegisteredAgain_inUse") {
  Registry.handle(targets_listed{{make("a")}}, Now);
  Registry.handle(target_leaving{target_name("a")}, Now);
  Registry.handle(target_removed{target_name("a")}, Now);
  Registry.handle(target_changed{make("a")}, Now);
  CHECK(inUse() == 1);
}

TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_leavingOfUnknownTarget_ignored") {
  CHECK(!Registry.handle(target_leaving{target_name("a")}, Now));
  CHECK(Registry.takeDecisions().empty());
}

// A response may arrive after the entry of the process that replaced its own.
TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_leavingOfReplacedProcess_laterOneInUse") {
  Registry.handle(targets_listed{{make("a")}}, Now);
  registered_target Restarted = make("a");
  Restarted.StartedAt = 5;
  Registry.handle(target_changed{Restarted}, Now);
  CHECK(!Registry.handle(target_leaving{target_name("a")}, Now));
  CHECK(inUse() == 1);
  CHECK(Registry.handle(
      target_leaving{.Target = target_name("a"), .StartedAt = 5}, Now));
  CHECK(inUse() == 0);
}

// Pauses belong to a process, so routing has to know which one has the name.
TEST_CASE_FIXTURE(target_registry_fixture,
                  "table_restartedTarget_hasStartOfProcess") {
  registered_target Restarted = make("a");
  Restarted.StartedAt = 5;
  Registry.handle(targets_listed{{Restarted}}, Now);
  const target_table Table = Registry.table();
  REQUIRE(Table.size() == 1);
  CHECK(Table.begin()->second.front().StartedAt == 5);
}

// Guards against word of leaving that arrives before the entry of the process
// that gave it: another VM of the data centre may know that entry earlier.
TEST_CASE_FIXTURE(target_registry_fixture,
                  "handle_leavingBeforeEntryOfProcess_notInUse") {
  Registry.handle(targets_listed{{make("a")}}, Now);
  Registry.handle(target_leaving{.Target = target_name("a"), .StartedAt = 5},
                  Now);
  registered_target Restarted = make("a");
  Restarted.StartedAt = 5;
  Registry.handle(target_changed{Restarted}, Now);
  CHECK(inUse() == 0);
}
