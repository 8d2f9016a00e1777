/// \file
/// Counters and histograms of requests, looked up once per configuration.
#pragma once

#include <array>
#include <string_view>
#include <unordered_map>

#include "coordination/routing/admission.h"
#include "state/burn/request_series.h"
#include "state/metrics/metrics_registry.h"

namespace peridot {

/// Series of one service, route and account; owned by the registry.
struct request_meters {
  std::array<counter *, RequestEndCount> Requests{};
  latency_histogram *Latency = nullptr;

  void record(request_end End, std::chrono::nanoseconds Elapsed) const;
};

/// Finds the series of requests by address; for one thread.
class request_meter_cache {
public:
  explicit request_meter_cache(metrics_registry &Registry)
      : Registry(Registry) {}

  /// \param Configuration that \p Admitted points into.
  request_meters of(const admitted_request &Admitted,
                    const configuration_ptr &Configuration);

private:
  struct meter_key {
    const route *Route = nullptr;
    const client_account *Account = nullptr;
    bool operator==(const meter_key &) const = default;
  };
  struct meter_key_hash {
    std::size_t operator()(const meter_key &Key) const {
      return std::hash<const void *>{}(Key.Route) * 31 +
             std::hash<const void *>{}(Key.Account);
    }
  };

  request_meters lookUp(const admitted_request &Admitted);

  metrics_registry &Registry;
  configuration_ptr Current; ///< Keeps the addresses of the keys in use.
  std::unordered_map<meter_key, request_meters, meter_key_hash> Meters;
};

} // namespace peridot
