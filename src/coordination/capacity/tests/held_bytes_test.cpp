#include "coordination/capacity/held_bytes.h"

#include <thread>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct held_bytes_fixture {
  static constexpr unsigned Usual = 1000;
  static constexpr unsigned Urgent = 0;

  /// Fills the budget with parts of one byte; returns how many were granted.
  std::uint64_t fill(held_kind Kind, unsigned Priority) {
    std::uint64_t Granted = 0;
    while (Budget.tryAdd(Kind, Priority, 1))
      ++Granted;
    return Granted;
  }

  held_bytes Budget{800};
};

} // namespace

// Guards against uploads that take the memory with which requests end that have
// already run.
TEST_CASE_FIXTURE(held_bytes_fixture,
                  "tryAdd_fullOfRequests_responsesStillHaveRoom") {
  CHECK(fill(held_kind::BufferedRequest, Usual) == 400);
  CHECK(fill(held_kind::StreamedRequest, Usual) == 200);
  CHECK(fill(held_kind::BufferedResponse, Usual) == 100);
  CHECK(Budget.used() == 700);
}

TEST_CASE_FIXTURE(held_bytes_fixture, "tryAdd_moreUrgent_usesLastPart") {
  fill(held_kind::BufferedRequest, Usual);
  CHECK(fill(held_kind::BufferedRequest, Urgent) == 100);
  CHECK(fill(held_kind::BufferedResponse, Usual) == 200);
  CHECK(fill(held_kind::BufferedResponse, Urgent) == 100);
}

// Where all requests have the same priority, none is more urgent than others.
TEST_CASE_FIXTURE(held_bytes_fixture, "tryAdd_onePriorityOnly_noneIsUrgent") {
  CHECK(fill(held_kind::BufferedRequest, Urgent) == 400);
  CHECK(fill(held_kind::BufferedRequest, Urgent) == 0);
}

TEST_CASE_FIXTURE(held_bytes_fixture, "add_beyondLimit_countedAndNothingElse") {
  Budget.add(1'000);
  CHECK(Budget.used() == 1'000);
  CHECK(!Budget.tryAdd(held_kind::BufferedResponse, Urgent, 1));
  Budget.remove(1'000);
  CHECK(Budget.tryAdd(held_kind::BufferedResponse, Urgent, 1));
}

TEST_CASE_FIXTURE(held_bytes_fixture, "takeChange_refusalThenRoom_eachOnce") {
  CHECK(Budget.takeChange() == budget_change::None);
  fill(held_kind::BufferedRequest, Usual);
  CHECK(Budget.takeChange() == budget_change::BecameShort);
  fill(held_kind::BufferedRequest, Usual);
  CHECK(Budget.takeChange() == budget_change::None);
  Budget.remove(200);
  CHECK(Budget.takeChange() == budget_change::None);
  Budget.remove(1);
  CHECK(Budget.takeChange() == budget_change::NoLongerShort);
  CHECK(Budget.takeChange() == budget_change::None);
}

TEST_CASE_FIXTURE(held_bytes_fixture, "reservation_movedOrEnded_releasedOnce") {
  {
    held_reservation First;
    CHECK(First.tryAdd(Budget, held_kind::BufferedRequest, Usual, 100));
    CHECK(!First.tryAdd(Budget, held_kind::BufferedRequest, Usual, 400));
    First.add(Budget, 500);
    CHECK(First.bytes() == 600);
    held_reservation Second = std::move(First);
    CHECK(Budget.used() == 600);
    First = std::move(Second);
    CHECK(Budget.used() == 600);
  }
  CHECK(Budget.used() == 0);
}

// Guards against threads that each find room for the last bytes.
TEST_CASE_FIXTURE(held_bytes_fixture, "tryAdd_severalThreads_limitKept") {
  std::vector<std::thread> Threads;
  for (int Index = 0; Index < 4; ++Index)
    Threads.emplace_back([this] { fill(held_kind::BufferedRequest, Usual); });
  for (std::thread &Each : Threads)
    Each.join();
  CHECK(Budget.used() == 400);
}

TEST_CASE("heldBytesLimit_smallVm_quarterOfMemory") {
  CHECK(heldBytesLimit(112) == 28'000'000);
  CHECK(heldBytesLimit(0) >= (std::uint64_t{1} << 30U));
}
