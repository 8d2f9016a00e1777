/// \file
/// Requests of one traffic thread that run or wait, by service.
#pragma once

#include <map>
#include <mutex>
#include <vector>

#include "coordination/capacity/types/service_demand.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Thread-safe.
class service_loads {
public:
  /// Sets how many requests of the service run or wait.
  void set(const service_name &Service, std::size_t Requests, instant Now);
  /// Returns the mean numbers since the last call.
  std::vector<service_demand> takeMeans(instant Now);

private:
  struct load {
    std::size_t Requests = 0;
    instant ChangedAt{};
    /// Requests multiplied by seconds until ChangedAt.
    double RequestSeconds = 0;

    void advance(instant Now);
  };

  std::mutex Mutex;
  instant TakenAt{};
  std::map<service_name, load> Loads;
};

} // namespace peridot
