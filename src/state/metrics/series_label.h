/// \file
/// Text of one label of a time series.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

/// `Name="Value"`, as in series_name::Labels.
std::string seriesLabel(std::string_view Name, std::string_view Value);

} // namespace peridot
