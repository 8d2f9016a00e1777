/// \file
/// Why a caller's connection ended without a complete response to a request.
#pragma once

#include <string_view>

namespace peridot {

enum class unanswered_cause {
  BodyNotReceived,     ///< The rest of the request body could not be read.
  CallerLeft,          ///< The caller's connection ended during an attempt.
  ResponseIncomplete,  ///< The target's response broke off while it was sent.
  ResponseUndelivered, ///< A complete response could not be sent.
  RefusalUndelivered,  ///< A refusal could not be sent.
  SessionFailed,       ///< An unexpected error ended the connection.
  ProcessEnded,        ///< The process ended during the request.
};

/// Returns the stable name of a cause, as used in logs and counters.
std::string_view nameOf(unanswered_cause Cause);

} // namespace peridot
