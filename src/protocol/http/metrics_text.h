/// \file
/// Text form of all counters and histograms for `/metrics`.
#pragma once

#include <string>

#include "state/metrics/metrics_registry.h"

namespace peridot {

/// One line per series: `name{labels} value`.
std::string encodeMetrics(const metrics_registry &Registry);

} // namespace peridot
