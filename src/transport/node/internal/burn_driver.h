/// \file
/// Adds the request counters of the traffic threads to the burn ledger.
#pragma once

#include "state/burn/request_series.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread.
class burn_driver {
public:
  explicit burn_driver(node_services &Context) : Context(Context) {}

  void start();
  /// Returns the error budgets spent, from current counter values.
  std::vector<subject_burn> read();

private:
  void readCounters(instant Now);

  node_services &Context;
  burn_ledger Ledger;
  /// Counter values at the previous reading.
  std::map<series_name, std::uint64_t> LastValues;
  timer_subscription Timer;
};

} // namespace peridot
