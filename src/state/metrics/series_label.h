/// \file
/// Formats and reads the labels of a time series.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

/// Returns `Name="Value"`, the form that series_name::Labels uses, with quotes,
/// backslashes and line feeds escaped as in the Prometheus text format.
std::string seriesLabel(std::string_view Name, std::string_view Value);

/// Returns the value of a label among several, without escapes; empty if there
/// is none.
std::string labelValue(std::string_view Labels, std::string_view Name);

} // namespace peridot
