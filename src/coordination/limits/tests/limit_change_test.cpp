#include <doctest/doctest.h>

#include "support/limits_schedule.h"

using namespace peridot;
using namespace peridot::test;
using namespace std::chrono_literals;

namespace {

/// Three VMs, the first owns the account; all have demand.
struct limit_change_fixture {
  limits_schedule Schedule{schedule_options{
      .Rate = 30, .Burst = 12, .Terms = {{.Vm = 0, .From = {}, .Until = 1h}}}};

  /// Asks at all VMs from \p First on for a while; the lowest level that a
  /// single bucket of \p Limit would have had.
  double leastLevel(const limited_account &Limit, duration Span,
                    std::size_t First = 0) {
    single_bucket Envelope(Limit.Rate, Limit.Burst);
    double Least = Limit.Burst;
    const duration End = Schedule.now() + Span;
    for (std::size_t Turn = 0; Schedule.now() < End; ++Turn) {
      Schedule.advanceTo(Schedule.now() + 10ms);
      if (Schedule.request(First + Turn % (3 - First)))
        Least = std::min(Least, Envelope.charge(Schedule.now()));
    }
    return Least;
  }

  limited_account scaled(double Factor) const {
    limited_account Changed = Schedule.account();
    Changed.Rate *= Factor;
    Changed.Burst *= Factor;
    return Changed;
  }
};

} // namespace

TEST_CASE_FIXTURE(limit_change_fixture, "lowerLimit_allBorrowersKnow_inForce") {
  CHECK(leastLevel(Schedule.account(), 5s) >= 0);
  const limited_account Lower = scaled(0.5);
  for (std::size_t Vm = 1; Vm < 3; ++Vm)
    Schedule.configure(Vm, Lower);
  Schedule.configure(0, Lower);
  CHECK(leastLevel(Lower, 5s) >= 0);
}

TEST_CASE_FIXTURE(limit_change_fixture, "lowerLimit_ownerKnows_oldEnvelope") {
  CHECK(leastLevel(Schedule.account(), 5s) >= 0);
  Schedule.configure(0, scaled(0.5));
  CHECK(leastLevel(Schedule.account(), 15s) >= 0);
}

TEST_CASE_FIXTURE(limit_change_fixture, "higherLimit_ownerKnows_newEnvelope") {
  CHECK(leastLevel(Schedule.account(), 5s) >= 0);
  Schedule.configure(0, scaled(3));
  CHECK(leastLevel(scaled(3), 10s) >= 0);
}

TEST_CASE_FIXTURE(limit_change_fixture,
                  "higherLimit_borrowersDoNotKnow_oldEnvelopeThere") {
  CHECK(leastLevel(Schedule.account(), 5s) >= 0);
  Schedule.configure(0, scaled(3));
  CHECK(leastLevel(Schedule.account(), 10s, 1) >= 0);
}
