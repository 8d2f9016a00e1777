#include <algorithm>

#include "service_health_fixture.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

TEST_CASE_FIXTURE(service_health_fixture, "handle_oneTargetFails_ejected") {
  makeFailing(2);
  CHECK(stateOf(2) == verdict_state::Ejected);
  CHECK(count<target_ejected>() == 1);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_slowTarget_ejected") {
  for (int Round = 0; Round < 10; ++Round) {
    report(
        AllDataCenters,
        {{.Target = targetIdOf(nameOfTarget(1)), .Requests = 10, .Slow = 8}});
    advance();
  }
  CHECK(stateOf(1) == verdict_state::Ejected);
}

TEST_CASE_FIXTURE(service_health_fixture, "handle_allTargetsFail_noneEjected") {
  std::vector<target_counts> AllFailing;
  for (unsigned Index = 0; Index < TargetCount; ++Index)
    AllFailing.push_back(failing(Index, 4));
  for (int Round = 0; Round < 40; ++Round) {
    report(AllDataCenters, AllFailing);
    advance();
  }
  CHECK(count<target_ejected>() == 0);
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_failuresFromOneDataCenter_linkAvoided") {
  for (int Round = 0; Round < 10; ++Round) {
    report({"a"}, {failing(3, 10)});
    report({"b", "c"}, {});
    advance();
  }
  CHECK(stateOf(3) == verdict_state::Serving);
  CHECK(count<target_ejected>() == 0);
  REQUIRE(count<link_avoided>() == 1);
  CHECK(Detector.verdicts().Targets.at(0).AvoidedIn ==
        std::vector{data_center_name("a")});
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_avoidanceExpired_targetUsedAgain") {
  for (int Round = 0; Round < 5; ++Round) {
    report({"a"}, {failing(3, 10)});
    report({"b", "c"}, {});
    advance();
  }
  REQUIRE(count<link_avoided>() == 1);
  for (int Round = 0; Round < 80; ++Round) {
    report(AllDataCenters, {});
    advance();
  }
  CHECK(count<link_avoided>() == 1);
  CHECK(Detector.verdicts().Targets.empty());
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_floorReached_ejectionWithheld") {
  for (unsigned Index = 0; Index < 4; ++Index) {
    makeFailing(Index);
    CHECK(Detector.servingSlotCount() >= Detector.floorSlotCount());
  }
  CHECK(count<target_ejected>() == 3);
  CHECK(count<ejection_withheld>() >= 1);
  CHECK(Detector.servingSlotCount() == Detector.floorSlotCount());
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_drainAtFloor_ejectedTargetReturns") {
  for (unsigned Index = 0; Index < 3; ++Index)
    makeFailing(Index);
  REQUIRE(Detector.servingSlotCount() == Detector.floorSlotCount());
  record(Detector.handle(drain_noticed{targetIdOf(nameOfTarget(5))}, Now));
  CHECK(stateOf(5) == verdict_state::Draining);
  CHECK(Detector.servingSlotCount() >= Detector.floorSlotCount());
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_trialWithoutFailures_readmitted") {
  makeFailing(0);
  advance(6s);
  REQUIRE(stateOf(0) == verdict_state::Trial);
  report({"a", "b"}, {failing(0, 0)});
  advance();
  CHECK(stateOf(0) == verdict_state::Serving);
  CHECK(count<target_readmitted>() == 1);
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_failedTrial_nextEjectionAndTrialLonger") {
  makeFailing(0);
  advance(6s);
  report({"a", "b"}, {failing(0, 5)});
  advance();
  REQUIRE(stateOf(0) == verdict_state::Ejected);
  advance(6s);
  CHECK(stateOf(0) == verdict_state::Ejected);
  advance(6s);
  REQUIRE(stateOf(0) == verdict_state::Trial);
  report({"a"}, {failing(0, 0, 15)});
  advance();
  CHECK(stateOf(0) == verdict_state::Trial);
  report({"a"}, {failing(0, 0, 5)});
  advance();
  CHECK(stateOf(0) == verdict_state::Serving);
}

TEST_CASE_FIXTURE(service_health_fixture, "configure_newTarget_startsOnTrial") {
  Service.Targets.push_back({.Name = nameOfTarget(TargetCount)});
  record(Detector.configure(Service, Now));
  CHECK(stateOf(TargetCount) == verdict_state::Trial);
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "adopt_verdictsOfPreviousOwner_kept") {
  makeFailing(4);
  const service_verdicts Held = Detector.verdicts();
  service_health Successor{service_health_options{}};
  Successor.configure(Service, Now);
  Successor.adopt(Held, Now);
  Successor.beginTerm(epoch{7}, Held.Version);
  CHECK(Successor.verdicts().Targets == Held.Targets);
  CHECK(Successor.verdicts().Version > Held.Version);
}

TEST_CASE_FIXTURE(service_health_fixture,
                  "handle_carefulMode_ejectedOnlyAfterConfirmation") {
  Service.Ejection = ejection_mode::Careful;
  Detector.configure(Service, Now);
  report(AllDataCenters, {});
  advance();
  report(AllDataCenters, {failing(0, 4)});
  advance();
  CHECK(stateOf(0) == verdict_state::Serving);
  for (int Round = 0; Round < 10; ++Round) {
    report(AllDataCenters, {});
    advance();
  }
  CHECK(count<target_ejected>() == 0);
  makeFailing(0);
  CHECK(stateOf(0) == verdict_state::Ejected);
}
