#include "coordination/rollout/rollout_machine.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct rollout_fixture {
  rollout_machine Machine{{.FreshnessLimit = 4s}};
  instant Start = instant{} + 100s;

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

TEST_CASE_FIXTURE(rollout_fixture, "keysAreFresh_noConfirmation_expires") {
  receive(5);
  CHECK_FALSE(Machine.keysAreFresh(Start));
  Machine.handle(revision_confirmed{revision{5}, Start});
  CHECK(Machine.keysAreFresh(Start + 4s));
  CHECK_FALSE(Machine.keysAreFresh(Start + 5s));
}

TEST_CASE_FIXTURE(rollout_fixture, "handle_confirmationOfNewer_notFresh") {
  receive(5);
  Machine.handle(revision_confirmed{revision{6}, Start});
  CHECK_FALSE(Machine.keysAreFresh(Start));
}
