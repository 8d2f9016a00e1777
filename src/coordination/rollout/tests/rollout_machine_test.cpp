#include "coordination/rollout/rollout_machine.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct rollout_fixture {
  rollout_machine Machine;

  bool receive(std::uint64_t Revision) {
    const auto Effect = Machine.handle(
        configuration_received{fleet_configuration{.Revision = {Revision}}});
    return std::holds_alternative<configuration_in_force>(Effect);
  }
};

} // namespace

TEST_CASE_FIXTURE(rollout_fixture, "handle_lowerRevision_neverReverts") {
  CHECK(receive(5));
  CHECK_FALSE(receive(4));
  CHECK_FALSE(receive(5));
  CHECK(Machine.inForce() == revision{5});
}
