/// \file
/// Lines of a node's event log, read again by peridotctl.
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
  std::string Vm;                           ///< Who wrote it.
  std::string Event;
  std::map<std::string, std::string> Fields; ///< The others, as text.

  /// Text of a field; empty without it.
  std::string_view field(const std::string &Key) const;
};

/// Reads a line. What a collector wrote before the JSON is left out.
/// \returns nothing if the line is no event.
std::optional<log_line> decodeLogLine(std::string_view Text);

} // namespace peridot
