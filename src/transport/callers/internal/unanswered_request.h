/// \file
/// A request that ended without a complete response to the caller.
#pragma once

#include <boost/system/error_code.hpp>

#include "coordination/routing/types/unanswered_cause.h"
#include "transport/callers/internal/relay_errors.h"
#include "transport/logging/event_log.h"

namespace peridot {

struct unanswered_request {
  unanswered_cause Cause = unanswered_cause::CallerLeft;
  boost::system::error_code Error; ///< Of the connection that ended, if known.

  /// A caller may leave at any time; other ends are worth a look.
  log_level level() const {
    return Cause == unanswered_cause::ResponseIncomplete || isTimeout(Error)
               ? log_level::Warning
               : log_level::Info;
  }
};

} // namespace peridot
