#include "coordination/load_balancing/route_statistics.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct route_statistics_fixture {
  route Plain{.PathPrefix = "/logs/", .Host = "fleet"};
  route Download{
      .PathPrefix = "/packs/", .Host = "fleet", .HasLargeResponses = true};
  route_statistics Statistics;
};

} // namespace

TEST_CASE_FIXTURE(route_statistics_fixture,
                  "typicalResponseBytes_noObservation_followsKindOfRoute") {
  CHECK(Statistics.typicalResponseBytes(Plain) == 0);
  CHECK(Statistics.typicalResponseBytes(Download) > 10'000);
}

TEST_CASE_FIXTURE(route_statistics_fixture,
                  "typicalResponseBytes_observations_approachTheirAverage") {
  for (int Count = 0; Count < 200; ++Count)
    Statistics.recordResponseBytes(Download, Count % 2 == 0 ? 80'000 : 100'000);
  const std::size_t Typical = Statistics.typicalResponseBytes(Download);
  CHECK(Typical > 85'000);
  CHECK(Typical < 95'000);
  CHECK(Statistics.typicalResponseBytes(Plain) == 0);
}

TEST_CASE_FIXTURE(route_statistics_fixture,
                  "typicalLatency_onlySizesObserved_unknown") {
  Statistics.recordResponseBytes(Plain, 400);
  CHECK(Statistics.typicalLatency(Plain) == duration{0});
  Statistics.recordLatency(Plain, std::chrono::milliseconds(300));
  CHECK(Statistics.typicalLatency(Plain) == std::chrono::milliseconds(300));
}
