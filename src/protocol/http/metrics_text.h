/// \file
/// Encodes all counters and histograms as text for `/metrics`.
#pragma once

#include <string>

#include "state/metrics/metrics_registry.h"

namespace peridot {

/// Encodes one line per series: `name{labels} value`.
std::string encodeMetrics(const metrics_registry &Registry);

} // namespace peridot
