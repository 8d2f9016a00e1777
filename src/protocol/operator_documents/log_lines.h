/// \file
/// Decodes lines of a VM's event log for peridotctl.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace peridot {

/// One line of an event log.
struct log_line {
  std::chrono::system_clock::time_point At; ///< By the clock of that VM.
  std::string Vm;                           ///< VM that wrote the line.
  std::string Event;
  std::map<std::string, std::string> Fields; ///< All other fields, as text.

  /// Returns the text of a field; empty if the line does not have it.
  std::string_view field(const std::string &Key) const;
};

/// Decodes a line and skips a prefix that a log collector wrote before the
/// JSON. Returns nullopt if the line is not an event.
std::optional<log_line> decodeLogLine(std::string_view Text);

} // namespace peridot
