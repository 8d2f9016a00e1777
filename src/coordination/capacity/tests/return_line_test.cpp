#include "coordination/capacity/return_line.h"

#include <algorithm>
#include <random>
#include <span>
#include <vector>

#include <doctest/doctest.h>

#include "coordination/capacity/urgency_shares.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct return_line_fixture {
  return_line Line;
  instant Now{1h};
  std::mt19937_64 Random{7};

  duration join(const return_conditions &Conditions) {
    return Line.join(Conditions, Now, Random());
  }
};

} // namespace

// Guards against a common Retry-After: the callers rejected in one second all
// came back together, of which the limit admitted a few.
TEST_CASE_FIXTURE(return_line_fixture,
                  "join_manyRejected_returnNoFasterThanServed") {
  std::vector<duration> Times(80);
  std::ranges::generate(Times, [&] { return join({.PerSecond = 20}); });
  for (duration Second{0}; Second < 4s; Second += 1s) {
    const auto Returning = std::ranges::count_if(Times, [&](duration Each) {
      return Each >= Second && Each < Second + 1s;
    });
    CHECK(Returning >= 18);
    CHECK(Returning <= 22);
  }
}

TEST_CASE_FIXTURE(return_line_fixture, "join_lineServed_beginsAnew") {
  for (int Count = 0; Count < 40; ++Count)
    join({.PerSecond = 20});
  Now += 2s;
  CHECK(join({.PerSecond = 20}) <= 50ms);
}

// Guards against callers that come back while no request can be served.
TEST_CASE_FIXTURE(return_line_fixture, "join_backlog_notBeforeItIsServed") {
  for (int Count = 0; Count < 40; ++Count)
    CHECK(join({.PerSecond = 100, .Earliest = 300ms}) >= 300ms);
}

TEST_CASE_FIXTURE(return_line_fixture, "join_moreUrgent_returnsEarlier") {
  for (int Count = 0; Count < 40; ++Count)
    join({.PerSecond = 20});
  return_line Same = Line;
  const return_conditions Urgent{.Class = {.RoutePriority = 0},
                                 .PerSecond = 20};
  CHECK(Same.join(Urgent, Now, 1) < Line.join({.PerSecond = 20}, Now, 1));
}

// Guards against a line that grows for as long as callers are rejected.
TEST_CASE_FIXTURE(return_line_fixture, "join_endlessRejections_bounded") {
  std::vector<duration> Times(1'000);
  std::ranges::generate(Times, [&] { return join({.PerSecond = 1}); });
  CHECK(std::ranges::max(Times) <= 10s);
  // Those at the bound do not come back together either.
  const auto Last = std::span(Times).last(100);
  CHECK(std::ranges::max(Last) - std::ranges::min(Last) > 2s);
}

TEST_CASE("fractionBefore_threeClasses_middleOfOwnClass") {
  urgency_shares Shares;
  CHECK(Shares.fractionBefore({}) == 0.5);
  for (unsigned Count = 0; Count < 100; ++Count)
    Shares.record({.RoutePriority = Count % 10 < 4 ? 1U : 2U});
  CHECK(Shares.fractionBefore({.RoutePriority = 0}) == 0);
  CHECK(Shares.fractionBefore({.RoutePriority = 1}) == doctest::Approx(0.2));
  CHECK(Shares.fractionBefore({.RoutePriority = 2}) == doctest::Approx(0.7));
}
