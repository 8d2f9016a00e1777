/// \file
/// Demand for a service as hosts report it to each other.
#pragma once

#include "state/base/types/identifiers.h"

namespace peridot {

/// Requests that run or wait at one VM or in one data centre.
struct service_demand {
  service_name Service;
  double Requests = 0;

  bool operator==(const service_demand &) const = default;
};

} // namespace peridot
