/// \file
/// Log of events as JSON lines, written through glog to standard output. Lines
/// are bounded for each event, and left out while the reader does not read.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "state/base/types/error.h"
#include "state/journal/decision_journal.h"

namespace peridot {

/// One field of a log line; views live until the call returns.
struct log_field {
  std::string_view Key;
  std::variant<std::string_view, std::int64_t, double, bool> Value;
};

enum class log_level { Info, Warning, Error };

/// Sets glog up to print bare lines. Called once, before any thread starts.
/// \param Vm is named in each line; empty: none.
void startEventLog(const char *ProgramName, std::string_view Vm);

/// Writes one line: time, level, event and fields. Event names are stable.
/// Never blocks. Texts are cut at 512 bytes.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Logs an error under \p Event with its kind, message and remedy.
void logError(std::string_view Event, const error &Error);

/// Logs an automatic decision.
void logDecision(const decision &Decision);

} // namespace peridot
