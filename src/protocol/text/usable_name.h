/// \file
/// Names of targets, VMs, data centres, services and accounts that come from
/// outside.
#pragma once

#include <string_view>

namespace peridot {

/// Longer names do not fit the messages between VMs.
inline constexpr std::size_t MaxNameBytes = 255;

/// Whether a name can stand in a header field (RFC 9110), a log line and a
/// label of a metric: valid UTF-8 without control characters, with no blank at
/// its ends, and neither empty nor too long.
bool isUsableName(std::string_view Name);

} // namespace peridot
