/// \file
/// Event log: JSON lines written through glog to standard output. The rate of
/// lines is limited per event, and lines are dropped while standard output
/// cannot be written without blocking.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

#include "state/base/types/error.h"
#include "state/journal/decision_journal.h"

namespace peridot {

/// Field of a log line. Its views must stay valid until the log call returns.
struct log_field {
  std::string_view Key;
  std::variant<std::string_view, std::int64_t, double, bool> Value;
};

enum class log_level { Info, Warning, Error };

/// Sets up glog to print lines without its prefix. Must be called once, before
/// any thread starts.
/// \param Vm name of this VM, added to each line unless empty.
void startEventLog(const char *ProgramName, std::string_view Vm);

/// Writes one line with time, level, VM, event and fields. Event names are
/// stable. Never blocks. Text values are truncated to 512 bytes.
void logEvent(log_level Level, std::string_view Event,
              std::initializer_list<log_field> Fields);

/// Logs \p Error at level error under \p Event, with kind, message and remedy.
void logError(std::string_view Event, const error &Error);

/// Logs an exception that left the handler of an event; the handler ends, the
/// process continues.
void logHandlerFailure(std::string_view Cause);

/// Logs an automatic decision at level info; its kind is the event name.
void logDecision(const decision &Decision);

} // namespace peridot
