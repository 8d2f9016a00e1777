#include "coordination/capacity/service_loads.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

// Guards against a demand that is read between two bursts.
TEST_CASE("takeMeans_loadChanged_meanSinceLastCall") {
  service_loads Loads;
  const instant Start{1h};
  Loads.takeMeans(Start);
  Loads.set(service_name("api"), 8, Start);
  Loads.set(service_name("api"), 0, Start + 250ms);
  const auto Means = Loads.takeMeans(Start + 500ms);
  REQUIRE(Means.size() == 1);
  CHECK(Means[0].Requests == 4);
  CHECK(Loads.takeMeans(Start + 1s).empty());
}
