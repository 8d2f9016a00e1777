#include "coordination/capacity/urgency_queue.h"

#include <algorithm>
#include <array>
#include <map>
#include <random>

#include <doctest/doctest.h>

#include "coordination/capacity/completion_rate.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MaxWaiting = 6;

struct urgency_queue_fixture {
  urgency_queue Queue{MaxWaiting};
  instant Now{1h};
  std::uint64_t LastTicket = 0;

  waiting_request request(const char *Account, unsigned Priority,
                          std::uint64_t Route = 1) {
    return {.Ticket = {++LastTicket},
            .Source = {.Account = account_name(Account), .Route = {Route}},
            .Urgency = {.Class = {.AccountPriority = Priority},
                        .WaitingSince = Now},
            .LatestStart = Now + 10s};
  }
  std::vector<rejected_request>
  enqueue(const waiting_request &Request,
          std::optional<duration> TimePerCompletion = std::nullopt) {
    return Queue.enqueue(Request, TimePerCompletion, Now);
  }
  std::vector<std::uint64_t> drain() {
    std::vector<std::uint64_t> Order;
    while (const auto Ticket = Queue.dequeue(Now))
      Order.push_back(Ticket->Value);
    return Order;
  }
};

using tickets = std::vector<std::uint64_t>;

} // namespace

TEST_CASE_FIXTURE(urgency_queue_fixture, "dequeue_mixed_mostUrgentFirst") {
  enqueue(request("low", 9));
  enqueue(request("high", 0));
  enqueue(request("low", 9));
  enqueue(request("high", 0));
  CHECK(drain() == tickets{2, 4, 1, 3});
}

TEST_CASE_FIXTURE(urgency_queue_fixture,
                  "dequeue_sameClass_timelyThenLongestWaiting") {
  waiting_request Late = request("a", 1);
  Late.Urgency.LatestTimelyStart = Now - 1ms;
  Late.Urgency.WaitingSince = Now - 3s;
  waiting_request Returning = request("a", 1);
  Returning.Urgency.WaitingSince = Now - 1s;
  enqueue(Late);
  enqueue(request("a", 1));
  enqueue(Returning);
  CHECK(drain() == tickets{2, 3, 1});
}

TEST_CASE_FIXTURE(urgency_queue_fixture, "dequeue_sameRank_turnsByWeight") {
  for (int Count = 0; Count < 3; ++Count)
    enqueue(request("single", 1));
  for (int Count = 0; Count < 3; ++Count) {
    waiting_request Double = request("double", 1);
    Double.Weight = 2;
    enqueue(Double);
  }
  const auto Order = drain();
  CHECK(std::ranges::count_if(Order.begin(), Order.begin() + 3,
                              [](auto Ticket) { return Ticket > 3; }) == 2);
}

// Guards against an urgent request that is rejected while others wait.
TEST_CASE_FIXTURE(urgency_queue_fixture, "enqueue_full_leastUrgentRejected") {
  for (std::size_t Count = 0; Count < MaxWaiting; ++Count)
    enqueue(request("low", 9));
  const auto Rejected = enqueue(request("high", 0));
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0].Ticket.Value == MaxWaiting);
  CHECK(Rejected[0].Cause == queue_rejection::Full);
  CHECK(drain().front() == LastTicket);
}

// Guards against requests that wait half of their deadline in vain.
TEST_CASE_FIXTURE(urgency_queue_fixture, "enqueue_cannotRunInTime_rejected") {
  for (int Count = 0; Count < 4; ++Count)
    enqueue(request("a", 1));
  waiting_request Hopeless = request("a", 1);
  Hopeless.LatestStart = Now + 400ms;
  const auto Rejected = enqueue(Hopeless, 100ms);
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0].Ticket == Hopeless.Ticket);
  CHECK(Rejected[0].Cause == queue_rejection::TooLate);
  // The same time is enough for one that goes before the others.
  waiting_request Urgent = request("b", 0);
  Urgent.LatestStart = Now + 400ms;
  CHECK(enqueue(Urgent, 100ms).empty());
}

// Guards against a request that is held back although others have overtaken it
// for good.
TEST_CASE_FIXTURE(urgency_queue_fixture, "enqueue_lastOvertaken_lastRejected") {
  waiting_request Last = request("low", 9);
  Last.LatestStart = Now + 150ms;
  CHECK(enqueue(Last, 100ms).empty());
  const auto Rejected = enqueue(request("high", 0), 100ms);
  REQUIRE(Rejected.size() == 1);
  CHECK(Rejected[0].Ticket == Last.Ticket);
}

TEST_CASE_FIXTURE(urgency_queue_fixture, "expire_latestStartPassed_removed") {
  waiting_request Early = request("a", 1);
  Early.LatestStart = Now + 1s;
  enqueue(Early);
  enqueue(request("a", 1));
  Now += 2s;
  CHECK(Queue.expire(Now) == std::vector{Early.Ticket});
  CHECK(drain() == tickets{2});
}

// Guards against starvation: twice the load that can be served for a minute,
// most of it urgent.
TEST_CASE_FIXTURE(urgency_queue_fixture,
                  "dequeue_lastingOverload_noAccountOrRouteStarves") {
  struct source {
    const char *Account;
    unsigned Priority;
    std::uint64_t Route;
    unsigned Share; ///< Of 20 requests.
  };
  constexpr std::array<source, 4> Sources{
      {{"a", 0, 1, 9}, {"b", 0, 2, 5}, {"c", 500, 1, 4}, {"d", 1000, 3, 2}}};
  struct counts {
    double Arrived = 0;
    double Served = 0;
  };
  std::array<counts, Sources.size()> Counts{};
  std::map<std::uint64_t, std::size_t> SourceOf;
  std::mt19937 Random(7);
  counts Total;
  for (int Step = 0; Step < 6'000; ++Step, Now += 10ms) {
    unsigned Draw = static_cast<unsigned>(Random() % 20);
    std::size_t Index = 0;
    while (Draw >= Sources[Index].Share)
      Draw -= Sources[Index++].Share;
    waiting_request Request = request(
        Sources[Index].Account, Sources[Index].Priority, Sources[Index].Route);
    Request.LatestStart = Now + 1s;
    SourceOf[Request.Ticket.Value] = Index;
    ++Counts[Index].Arrived;
    ++Total.Arrived;
    enqueue(Request, 20ms);
    Queue.expire(Now);
    if (Step % 2 != 0)
      continue;
    if (const auto Served = Queue.dequeue(Now)) {
      ++Counts[SourceOf[Served->Value]].Served;
      ++Total.Served;
    }
  }
  const double Fraction = Total.Served / Total.Arrived;
  CHECK(Fraction > 0.45);
  for (const counts &Each : Counts)
    CHECK(Each.Served / Each.Arrived >= Fraction / 4);
  // The urgent accounts are served nearly always.
  CHECK(Counts[3].Served / Counts[3].Arrived <
        Counts[0].Served / Counts[0].Arrived);
}

TEST_CASE("timePerCompletion_moreSlots_shorter") {
  completion_rate Rate;
  CHECK_FALSE(Rate.timePerCompletion(4));
  Rate.record(100ms);
  Rate.record(300ms);
  CHECK(Rate.timePerCompletion(4) == 50ms);
  CHECK(Rate.timePerCompletion(8) == 25ms);
}
