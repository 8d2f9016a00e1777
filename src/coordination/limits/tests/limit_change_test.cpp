#include <doctest/doctest.h>

#include "support/limits_schedule.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Three VMs with demand; the first owns the account's shard.
struct limit_change_fixture {
  limits_schedule Schedule{schedule_options{
      .Rate = 30, .Burst = 12, .Terms = {{.Vm = 0, .From = {}, .Until = 1h}}}};

  /// Sends requests to all VMs from \p First on for \p Span. Returns the lowest
  /// level that a single bucket with \p Limit would have had.
  double lowestLevel(const limited_account &Limit, duration Span,
                     std::size_t First = 0) {
    single_bucket Envelope(Limit.Rate, Limit.Burst);
    double LowestLevel = Limit.Burst;
    const duration End = Schedule.now() + Span;
    for (std::size_t Turn = 0; Schedule.now() < End; ++Turn) {
      Schedule.advanceTo(Schedule.now() + 10ms);
      if (Schedule.request(First + Turn % (3 - First)))
        LowestLevel = std::min(LowestLevel, Envelope.charge(Schedule.now()));
    }
    return LowestLevel;
  }

  limited_account scaled(double Factor) const {
    limited_account Changed = Schedule.account();
    Changed.Rate *= Factor;
    Changed.Burst *= Factor;
    return Changed;
  }
};

} // namespace

TEST_CASE_FIXTURE(limit_change_fixture,
                  "lowerLimit_knownToAllVms_newEnvelopeHolds") {
  CHECK(lowestLevel(Schedule.account(), 5s) >= 0);
  const limited_account Lower = scaled(0.5);
  for (std::size_t Vm = 1; Vm < 3; ++Vm)
    Schedule.configure(Vm, Lower);
  Schedule.configure(0, Lower);
  CHECK(lowestLevel(Lower, 5s) >= 0);
}

TEST_CASE_FIXTURE(limit_change_fixture,
                  "lowerLimit_knownToOwnerOnly_oldEnvelopeHolds") {
  CHECK(lowestLevel(Schedule.account(), 5s) >= 0);
  Schedule.configure(0, scaled(0.5));
  CHECK(lowestLevel(Schedule.account(), 15s) >= 0);
}

TEST_CASE_FIXTURE(limit_change_fixture,
                  "higherLimit_knownToOwnerOnly_newEnvelopeHolds") {
  CHECK(lowestLevel(Schedule.account(), 5s) >= 0);
  Schedule.configure(0, scaled(3));
  CHECK(lowestLevel(scaled(3), 10s) >= 0);
}

TEST_CASE_FIXTURE(limit_change_fixture,
                  "higherLimit_unknownToHolders_oldEnvelopeHolds") {
  CHECK(lowestLevel(Schedule.account(), 5s) >= 0);
  Schedule.configure(0, scaled(3));
  CHECK(lowestLevel(Schedule.account(), 10s, 1) >= 0);
}
