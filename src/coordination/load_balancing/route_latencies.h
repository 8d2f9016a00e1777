/// \file
/// Typical latency of successful requests of each route.
#pragma once

#include <string>
#include <unordered_map>

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Moving averages; not thread-safe.
class route_latencies {
public:
  /// Returns the typical latency on \p Route; zero without observations.
  duration typicalLatency(const route &Route) const;
  /// Records the latency of one successful request.
  void note(const route &Route, duration Latency);

private:
  std::unordered_map<std::string, duration> Latencies;
};

} // namespace peridot
