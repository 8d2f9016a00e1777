/// \file
/// Formats one label of a time series.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

/// Returns `Name="Value"`, the form that series_name::Labels uses.
std::string seriesLabel(std::string_view Name, std::string_view Value);

} // namespace peridot
