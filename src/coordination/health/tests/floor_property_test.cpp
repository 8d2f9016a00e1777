#include <rapidcheck.h>

#include "service_health_fixture.h"

using namespace peridot;
using namespace peridot::test;

namespace {

/// Feeds random events and checks the floor after each.
struct floor_property_fixture : service_health_fixture {
  void step() {
    const auto Kind = *rc::gen::inRange(0, 12);
    const auto Index = *rc::gen::inRange(0U, TargetCount);
    if (Kind == 0)
      keep(Machine.handle(drain_noticed{targetIdOf(nameOfTarget(Index))}, Now));
    else if (Kind == 1)
      changeOwner();
    else if (Kind == 2)
      pass(std::chrono::seconds(*rc::gen::inRange(1, 90)));
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
    pass();
  }

  void changeOwner() {
    const service_verdicts Held = Machine.verdicts();
    Machine = service_health(service_health_options{});
    Machine.configure(Service, Now);
    Machine.adopt(Held, Now);
    Machine.beginTerm(Held.Version.Epoch.next(), Held.Version);
    RC_ASSERT(Machine.verdicts().Version > Held.Version);
  }

  void removeOrAdd() {
    if (Service.Targets.size() == TargetCount)
      Service.Targets.pop_back();
    else
      Service.Targets.push_back({.Name = nameOfTarget(TargetCount - 1)});
    keep(Machine.configure(Service, Now));
  }

  /// Below the floor only what targets themselves chose may be missing.
  void checkFloor() const {
    if (Machine.servingSlotCount() >= Machine.floorSlotCount())
      return;
    for (const target_verdict &Verdict : Machine.verdicts().Targets)
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
