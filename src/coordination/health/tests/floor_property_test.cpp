#include <rapidcheck.h>

#include "service_health_fixture.h"

using namespace peridot;
using namespace peridot::test;

namespace {

/// Handles random events and checks the floor after each.
struct floor_property_fixture : service_health_fixture {
  void step() {
    const auto Kind = *rc::gen::inRange(0, 12);
    const auto Index = *rc::gen::inRange(0U, TargetCount);
    if (Kind == 0)
      record(
          Detector.handle(drain_noticed{targetIdOf(nameOfTarget(Index))}, Now));
    else if (Kind == 1)
      changeOwner();
    else if (Kind == 2)
      advance(std::chrono::seconds(*rc::gen::inRange(1, 90)));
    else if (Kind == 3)
      removeOrAdd();
    else
      reportRandomly();
    checkFloor();
  }

  void reportRandomly() {
    std::vector<target_counts> Counts;
    for (unsigned Index = 0; Index < TargetCount; ++Index)
      if (*rc::gen::inRange(0, 3) == 0)
        Counts.push_back(failing(Index, *rc::gen::inRange(0U, 11U)));
    const auto From = *rc::gen::inRange(0, 4);
    report(From == 3
               ? AllDataCenters
               : std::vector{AllDataCenters[static_cast<std::size_t>(From)]},
           Counts);
    advance();
  }

  void changeOwner() {
    const service_verdicts Held = Detector.verdicts();
    Detector = service_health(service_health_options{});
    Detector.configure(Service, Now);
    Detector.adopt(Held, Now);
    Detector.beginTerm(Held.Version.Epoch.next(), Held.Version);
    RC_ASSERT(Detector.verdicts().Version > Held.Version);
  }

  void removeOrAdd() {
    if (Service.Targets.size() == TargetCount)
      Service.Targets.pop_back();
    else
      Service.Targets.push_back({.Name = nameOfTarget(TargetCount - 1)});
    record(Detector.configure(Service, Now));
  }

  /// Serving slots may be below the floor only because targets are draining.
  void checkFloor() const {
    if (Detector.servingSlotCount() >= Detector.floorSlotCount())
      return;
    for (const target_verdict &Verdict : Detector.verdicts().Targets)
      RC_ASSERT(Verdict.State == verdict_state::Draining ||
                Verdict.State == verdict_state::Serving);
  }
};

} // namespace

TEST_CASE("floor_randomEvidenceDrainsOwners_neverBroken") {
  CHECK(rc::check([] {
    floor_property_fixture Fixture;
    const auto Steps = *rc::gen::inRange(20, 120);
    for (int Step = 0; Step < Steps; ++Step)
      Fixture.step();
  }));
}
