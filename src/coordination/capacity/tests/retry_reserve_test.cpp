#include "coordination/capacity/retry_reserve.h"

#include <doctest/doctest.h>

#include "coordination/health/retry_budget.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr urgency_class Urgent{.AccountPriority = 0};
constexpr urgency_class Other{.AccountPriority = 9};

struct retry_reserve_fixture {
  retry_reserve Reserve;
  instant Now{1h};

  /// Lets both classes send for \p Length, with every n-th attempt rejected.
  void run(duration Length, int RejectedOf) {
    for (int Count = 0; Count < Length / 10ms; ++Count, Now += 10ms) {
      Reserve.recordRequest(Count % 2 == 0 ? Urgent : Other);
      Reserve.recordAttempt(RejectedOf > 0 && Count % RejectedOf == 0, Now);
    }
  }
};

} // namespace

// Guards against a budget that the less urgent requests use up while targets
// reject half of all attempts for 8 s.
TEST_CASE_FIXTURE(retry_reserve_fixture,
                  "reservedFor_halfRejected_halfLeftToUrgent") {
  run(2s, 2);
  CHECK(Reserve.reservedFor(Other, Now) == 0.5);
  CHECK(Reserve.reservedFor(Urgent, Now) == 0);
  run(6s, 0);
  CHECK(Reserve.reservedFor(Other, Now) == 0);
}

// Guards against a change for services whose requests have one priority.
TEST_CASE_FIXTURE(retry_reserve_fixture, "reservedFor_oneClass_nothing") {
  for (int Count = 0; Count < 100; ++Count) {
    Reserve.recordRequest(Other);
    Reserve.recordAttempt(true, Now);
  }
  CHECK(Reserve.reservedFor(Other, Now) == 0);
}

TEST_CASE("take_partReserved_leavesIt") {
  retry_budget Budget({.Capacity = 4, .InitialTokens = 4});
  CHECK(Budget.take(0.5));
  CHECK(Budget.take(0.5));
  CHECK_FALSE(Budget.take(0.5));
  CHECK(Budget.take());
}
