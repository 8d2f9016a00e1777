#include "coordination/load_balancing/route_statistics.h"

namespace peridot {

namespace {

/// Weight of the latest request in an average.
constexpr double LatestWeight = 0.05;
/// Response size assumed without observations on a route with large responses.
constexpr std::size_t AssumedLargeResponseBytes = 64U << 10U;

std::string keyOf(const route &Route) { return Route.Host + Route.PathPrefix; }

} // namespace

const route_statistics::averages *
route_statistics::find(const route &Route) const {
  const auto Found = Routes.find(keyOf(Route));
  return Found == Routes.end() ? nullptr : &Found->second;
}

route_statistics::averages &route_statistics::getOrCreate(const route &Route) {
  return Routes[keyOf(Route)];
}

duration route_statistics::typicalLatency(const route &Route) const {
  const averages *Known = find(Route);
  return Known ? Known->Latency : duration{0};
}

std::size_t route_statistics::typicalResponseBytes(const route &Route) const {
  const averages *Known = find(Route);
  if (Known && Known->ResponseBytes >= 0)
    return static_cast<std::size_t>(Known->ResponseBytes);
  return Route.HasLargeResponses ? AssumedLargeResponseBytes : 0;
}

void route_statistics::recordLatency(const route &Route, duration Latency) {
  averages &Known = getOrCreate(Route);
  if (Known.Latency == duration{0})
    Known.Latency = Latency;
  else
    Known.Latency += std::chrono::duration_cast<duration>(
        (Latency - Known.Latency) * LatestWeight);
}

void route_statistics::recordResponseBytes(const route &Route,
                                           std::size_t Bytes) {
  averages &Known = getOrCreate(Route);
  const auto Latest = static_cast<double>(Bytes);
  if (Known.ResponseBytes < 0)
    Known.ResponseBytes = Latest;
  else
    Known.ResponseBytes += (Latest - Known.ResponseBytes) * LatestWeight;
}

} // namespace peridot
