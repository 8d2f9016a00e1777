#include "coordination/registry/evacuation_registry.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct evacuation_registry_fixture {
  evacuation_registry_fixture() {
    for (const char *Name : {"a1", "a2", "b1"})
      Table[service_name("hive")].push_back(
          {.Name = target_name(Name),
           .DataCenter = data_center_name(std::string("lakes-") + Name[0])});
  }

  bool list(std::initializer_list<const char *> Names) {
    evacuations_listed Listed;
    for (const char *Each : Names)
      Listed.Evacuations.push_back({data_center_name(Each)});
    return Registry.handle(Listed);
  }

  std::size_t inUse() {
    target_table InUse = Table;
    const std::size_t Removed = removeEvacuated(InUse, Registry.dataCenters());
    const std::size_t Left = InUse[service_name("hive")].size();
    CHECK(Removed + Left == Table[service_name("hive")].size());
    return Left;
  }

  evacuation_registry Registry;
  target_table Table;
};

} // namespace

// A VM that starts must not take "not read yet" for "none".
TEST_CASE_FIXTURE(evacuation_registry_fixture,
                  "isKnown_changeBeforeList_onlyListCounts") {
  Registry.handle(evacuation_requested{{data_center_name("lakes-a")}});
  CHECK(!Registry.isKnown());
  CHECK(!list({"lakes-a"}));
  CHECK(Registry.isKnown());
}

TEST_CASE_FIXTURE(evacuation_registry_fixture,
                  "handle_requestedAndWithdrawn_targetsLeaveAndReturn") {
  list({});
  CHECK(inUse() == 3);
  CHECK(Registry.handle(evacuation_requested{{data_center_name("lakes-a")}}));
  CHECK(inUse() == 1);
  CHECK(!Registry.handle(evacuation_requested{{data_center_name("lakes-a")}}));
  CHECK(Registry.handle(evacuation_withdrawn{data_center_name("lakes-a")}));
  CHECK(!Registry.handle(evacuation_withdrawn{data_center_name("lakes-a")}));
  CHECK(inUse() == 3);
  const evacuation_decision Started{data_center_name("lakes-a"),
                                    evacuation_transition::Started};
  const evacuation_decision Ended{data_center_name("lakes-a"),
                                  evacuation_transition::Ended};
  CHECK(Registry.takeDecisions() == std::vector{Started, Ended});
  CHECK(Registry.takeDecisions().empty());
}

// A removal that this VM missed would otherwise stay without effect.
TEST_CASE_FIXTURE(evacuation_registry_fixture,
                  "handle_listWithoutEarlierEvacuation_replacesIt") {
  list({"lakes-a"});
  CHECK(list({"lakes-b"}));
  CHECK(inUse() == 2);
  CHECK(Registry.takeDecisions().size() == 3);
}

TEST_CASE_FIXTURE(evacuation_registry_fixture,
                  "handle_unknownDataCenter_evacuatedWithoutEffect") {
  CHECK(list({"lakes-c"}));
  CHECK(inUse() == 3);
}

TEST_CASE_FIXTURE(evacuation_registry_fixture,
                  "handle_allDataCenters_noTargetInUse") {
  list({"lakes-a", "lakes-b"});
  CHECK(inUse() == 0);
}
