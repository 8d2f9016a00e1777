/// \file
/// How many requests a second each VM sends to one service.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "coordination/health/types/health_report.h"

namespace peridot {

/// Estimated from the totals in the reports; lost reports do no harm.
class observer_rates {
public:
  void record(const vm_name &Observer, const data_center_name &DataCenter,
              const service_report &Report, instant Now);
  /// Forgets VMs that fell silent.
  void expire(instant Now);

  /// Requests per second by the observers' data centre.
  std::map<data_center_name, double> byDataCenter() const;
  /// VMs that reported lately.
  std::vector<vm_name> observers() const;

private:
  struct observer {
    data_center_name DataCenter;
    double PerSecond = 0;
    instant HeardAt{};
  };

  std::unordered_map<vm_name, observer> Observers;
};

} // namespace peridot
