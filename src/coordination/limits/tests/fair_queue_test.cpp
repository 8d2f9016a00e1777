#include "coordination/limits/fair_queue.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct fair_queue_fixture {
  fair_queue Queue{{.MaxWaiting = 6}};
  std::uint64_t LastTicket = 0;

  queue_outcome enqueue(const char *Account, unsigned Weight = 1,
                        instant Deadline = instant::max()) {
    return Queue.enqueue({.Ticket = {++LastTicket},
                          .Account = account_name(Account),
                          .Weight = Weight,
                          .Deadline = Deadline});
  }
  std::vector<std::uint64_t> drain() {
    std::vector<std::uint64_t> Order;
    while (const auto Ticket = Queue.dequeue())
      Order.push_back(Ticket->Value);
    return Order;
  }
};

using tickets = std::vector<std::uint64_t>;

} // namespace

TEST_CASE_FIXTURE(fair_queue_fixture,
                  "dequeue_equalWeights_accountsTakeTurns") {
  for (int Count = 0; Count < 3; ++Count)
    enqueue("heavy");
  enqueue("light");
  CHECK(drain() == tickets{1, 4, 2, 3});
  CHECK(Queue.size() == 0);
}

TEST_CASE_FIXTURE(fair_queue_fixture, "dequeue_doubleWeight_doubleTurns") {
  for (int Count = 0; Count < 3; ++Count)
    enqueue("a", 2);
  for (int Count = 0; Count < 3; ++Count)
    enqueue("b");
  CHECK(drain() == tickets{1, 2, 4, 3, 5, 6});
}

TEST_CASE_FIXTURE(fair_queue_fixture, "enqueue_full_newestOfHeaviestRefused") {
  for (int Count = 0; Count < 5; ++Count)
    enqueue("heavy");
  enqueue("light");
  const auto Displaced = enqueue("light");
  REQUIRE(std::holds_alternative<queue_displaced>(Displaced));
  CHECK(std::get<queue_displaced>(Displaced).Refused.Value == 5);
  CHECK(std::holds_alternative<queue_full>(enqueue("heavy")));
  CHECK(Queue.size() == 6);
}

TEST_CASE_FIXTURE(fair_queue_fixture,
                  "expire_deadlinePassed_onlyExpiredRemoved") {
  enqueue("a", 1, instant(std::chrono::seconds(1)));
  enqueue("a", 1, instant(std::chrono::seconds(3)));
  enqueue("b", 1, instant(std::chrono::seconds(1)));
  const auto Expired = Queue.expire(instant(std::chrono::seconds(2)));
  CHECK(Expired.size() == 2);
  CHECK(drain() == tickets{2});
}

TEST_CASE_FIXTURE(fair_queue_fixture, "remove_waitingRequest_neverServed") {
  enqueue("a");
  enqueue("a");
  Queue.remove({1});
  Queue.remove({7});
  CHECK(drain() == tickets{2});
}
