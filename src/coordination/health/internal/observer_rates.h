/// \file
/// Rate at which each VM sends requests to one service.
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "coordination/health/types/health_report.h"

namespace peridot {

/// Estimates the rates from the request totals in reports. Lost reports do not
/// distort them, because each report gives its own period.
class observer_rates {
public:
  void record(const vm_name &Observer, const data_center_name &DataCenter,
              const service_report &Report, instant Now);
  /// Drops VMs whose reports stopped.
  void expire(instant Now);

  /// Requests per second from each data centre.
  std::map<data_center_name, double> byDataCenter() const;
  /// VMs that reported recently.
  std::vector<vm_name> observers() const;

private:
  struct observer {
    data_center_name DataCenter;
    double RequestsPerSecond = 0;
    instant LastReportAt{};
  };

  std::unordered_map<vm_name, observer> Observers;
};

} // namespace peridot
