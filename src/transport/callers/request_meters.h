/// \file
/// Metrics of requests, looked up in the registry once per configuration.
#pragma once

#include <array>
#include <string_view>
#include <unordered_map>

#include "coordination/routing/admission.h"
#include "state/burn/request_series.h"
#include "state/metrics/metrics_registry.h"

namespace peridot {

/// Metrics of one service, route and account; owned by the registry.
struct request_meters {
  std::array<counter *, RequestEndCount> Requests{};
  latency_histogram *Latency = nullptr;

  void record(request_end End, std::chrono::nanoseconds Elapsed) const;
};

/// Caches metrics by the addresses of route and account. Not thread-safe.
class request_meter_cache {
public:
  explicit request_meter_cache(metrics_registry &Registry)
      : Registry(Registry) {}

  /// \param Configuration the configuration that \p Admitted points into.
  request_meters getOrCreate(const admitted_request &Admitted,
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
  /// Kept alive so that the addresses in the keys are not reused.
  configuration_ptr Current;
  std::unordered_map<meter_key, request_meters, meter_key_hash> Meters;
};

} // namespace peridot
