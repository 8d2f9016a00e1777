/// \file
/// Typical latency and response size of each route.
#pragma once

#include <string>
#include <unordered_map>

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Moving averages over successful requests; not thread-safe.
class route_statistics {
public:
  /// Returns the typical latency on \p Route; zero without observations.
  duration typicalLatency(const route &Route) const;
  /// Returns the typical size of a response body on \p Route in bytes. Without
  /// observations it follows from whether the route has large responses.
  std::size_t typicalResponseBytes(const route &Route) const;
  void recordLatency(const route &Route, duration Latency);
  void recordResponseBytes(const route &Route, std::size_t Bytes);

private:
  struct averages {
    duration Latency{0};
    double ResponseBytes = -1; ///< Negative: no observation.
  };

  const averages *find(const route &Route) const;
  averages &getOrCreate(const route &Route);

  std::unordered_map<std::string, averages> Routes;
};

} // namespace peridot
