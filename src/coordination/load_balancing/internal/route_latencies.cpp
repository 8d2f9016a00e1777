#include "coordination/load_balancing/route_latencies.h"

namespace peridot {

namespace {

/// Weight of the latest request in the average.
constexpr double LatestWeight = 0.05;

std::string keyOf(const route &Route) { return Route.Host + Route.PathPrefix; }

} // namespace

duration route_latencies::typicalLatency(const route &Route) const {
  const auto Found = Latencies.find(keyOf(Route));
  return Found == Latencies.end() ? duration{0} : Found->second;
}

void route_latencies::note(const route &Route, duration Latency) {
  const auto [Entry, IsNew] = Latencies.try_emplace(keyOf(Route), Latency);
  if (!IsNew)
    Entry->second += std::chrono::duration_cast<duration>(
        (Latency - Entry->second) * LatestWeight);
}

} // namespace peridot
