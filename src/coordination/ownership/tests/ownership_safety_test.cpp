#include <rapidcheck.h>

#include <doctest/doctest.h>

#include "lease_simulation.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t VmCount = 5;

rc::Gen<simulated_fault> anyFault() {
  return rc::gen::build<simulated_fault>(
      rc::gen::set(
          &simulated_fault::Kind,
          rc::gen::map(rc::gen::inRange(0, 10),
                       [](int Kind) { return static_cast<fault_kind>(Kind); })),
      rc::gen::set(&simulated_fault::Vm,
                   rc::gen::inRange<std::size_t>(0, VmCount)),
      rc::gen::set(&simulated_fault::Other,
                   rc::gen::inRange<std::size_t>(0, VmCount)),
      rc::gen::set(&simulated_fault::At,
                   rc::gen::map(rc::gen::inRange(0, 80'000),
                                [](int Ms) { return duration(Ms * 1ms); })),
      rc::gen::set(&simulated_fault::Length,
                   rc::gen::map(rc::gen::inRange(10, 25'000),
                                [](int Ms) { return duration(Ms * 1ms); })));
}

} // namespace

TEST_CASE("ownership_randomSchedules_neverTwoOwnersOfOneShard") {
  std::uint64_t Writes = 0;
  const bool Holds = rc::check([&Writes] {
    lease_simulation Simulation(
        {.VmCount = VmCount,
         .RandomSeed = *rc::gen::arbitrary<std::uint64_t>()});
    const auto Faults =
        *rc::gen::container<std::vector<simulated_fault>>(12, anyFault());
    for (const simulated_fault &Fault : Faults)
      Simulation.add(Fault);
    Simulation.run();
    Writes += Simulation.platformWrites();
    RC_ASSERT(!Simulation.shardWithTwoOwners());
  });
  CHECK(Holds);
  CHECK(Writes > 100);
}
