#include <algorithm>

#include "service_health_fixture.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(service_health_fixture, "handle_oneTargetFails_ejected") {
  makeIll(2);
  CHECK(stateOf(2) == verdict_state::Ejected);
  CHECK(count<target_ejected>() == 1);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_slowTarget_ejected") {
  for (int Round = 0; Round < 10; ++Round) {
    report(
        AllDataCenters,
        {{.Target = targetIdOf(nameOfTarget(1)), .Requests = 10, .Slow = 8}});
    pass();
  }
  CHECK(stateOf(1) == verdict_state::Ejected);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_allFailAlike_noneEjected") {
  std::vector<target_counts> Everybody;
  for (unsigned Index = 0; Index < TargetCount; ++Index)
    Everybody.push_back(failing(Index, 4));
  for (int Round = 0; Round < 40; ++Round) {
    report(AllDataCenters, Everybody);
    pass();
  }
  CHECK(count<target_ejected>() == 0);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_oneDataCenterOnly_avoided") {
  for (int Round = 0; Round < 10; ++Round) {
    report({"a"}, {failing(3, 10)});
    report({"b", "c"}, {});
    pass();
  }
  CHECK(stateOf(3) == verdict_state::Serving);
  CHECK(count<target_ejected>() == 0);
  REQUIRE(count<link_avoided>() == 1);
  CHECK(Machine.verdicts().Targets.at(0).AvoidedIn ==
        std::vector{data_center_name("a")});
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_avoidanceEnded_usedAgain") {
  for (int Round = 0; Round < 5; ++Round) {
    report({"a"}, {failing(3, 10)});
    report({"b", "c"}, {});
    pass();
  }
  REQUIRE(count<link_avoided>() == 1);
  for (int Round = 0; Round < 80; ++Round) {
    report(AllDataCenters, {});
    pass();
  }
  CHECK(count<link_avoided>() == 1);
  CHECK(Machine.verdicts().Targets.empty());
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_floorReached_withheld") {
  for (unsigned Index = 0; Index < 4; ++Index) {
    makeIll(Index);
    CHECK(Machine.servingSlotCount() >= Machine.floorSlotCount());
  }
  CHECK(count<target_ejected>() == 3);
  CHECK(count<ejection_withheld>() >= 1);
  CHECK(Machine.servingSlotCount() == Machine.floorSlotCount());
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_drainAtFloor_ejectedReturns") {
  for (unsigned Index = 0; Index < 3; ++Index)
    makeIll(Index);
  REQUIRE(Machine.servingSlotCount() == Machine.floorSlotCount());
  keep(Machine.handle(drain_noticed{targetIdOf(nameOfTarget(5))}, Now));
  CHECK(stateOf(5) == verdict_state::Draining);
  CHECK(Machine.servingSlotCount() >= Machine.floorSlotCount());
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_goodTrial_readmitted") {
  makeIll(0);
  pass(6s);
  REQUIRE(stateOf(0) == verdict_state::Trial);
  report({"a", "b"}, {failing(0, 0)});
  pass();
  CHECK(stateOf(0) == verdict_state::Serving);
  CHECK(count<target_readmitted>() == 1);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_relapse_nextTrialIsLonger") {
  makeIll(0);
  pass(6s);
  report({"a", "b"}, {failing(0, 5)});
  pass();
  REQUIRE(stateOf(0) == verdict_state::Ejected);
  pass(6s);
  CHECK(stateOf(0) == verdict_state::Ejected);
  pass(6s);
  REQUIRE(stateOf(0) == verdict_state::Trial);
  report({"a"}, {failing(0, 0, 15)});
  pass();
  CHECK(stateOf(0) == verdict_state::Trial);
  report({"a"}, {failing(0, 0, 5)});
  pass();
  CHECK(stateOf(0) == verdict_state::Serving);
}

TEST_CASE_FIXTURE(service_health_fixture, "configure_newTarget_startsOnTrial") {
  Service.Targets.push_back({.Name = nameOfTarget(TargetCount)});
  keep(Machine.configure(Service, Now));
  CHECK(stateOf(TargetCount) == verdict_state::Trial);
}

TEST_CASE_FIXTURE(service_health_fixture, "adopt_heldVerdicts_continued") {
  makeIll(4);
  const service_verdicts Held = Machine.verdicts();
  service_health Successor{service_health_options{}};
  Successor.configure(Service, Now);
  Successor.adopt(Held, Now);
  Successor.beginTerm(epoch{7}, Held.Version);
  CHECK(Successor.verdicts().Targets == Held.Targets);
  CHECK(Successor.verdicts().Version > Held.Version);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_careful_secondLookFirst") {
  Service.Ejection = ejection_mode::Careful;
  Machine.configure(Service, Now);
  report(AllDataCenters, {});
  pass();
  report(AllDataCenters, {failing(0, 4)});
  pass();
  CHECK(stateOf(0) == verdict_state::Serving);
  for (int Round = 0; Round < 10; ++Round) {
    report(AllDataCenters, {});
    pass();
  }
  CHECK(count<target_ejected>() == 0);
  makeIll(0);
  CHECK(stateOf(0) == verdict_state::Ejected);
}
