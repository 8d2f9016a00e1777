/// \file
/// Collects the log lines about one request: its own lines, failed attempts of
/// other requests at the same targets, and preceding events of its VMs.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/operator_documents/log_lines.h"

namespace peridot {

/// Log lines that help to explain one request.
struct request_timeline {
  std::vector<log_line> RequestLines; ///< Lines with the request's id.
  /// Number of attempts of other requests by target and outcome, for each
  /// target of the request, within 2 s of its attempts.
  std::map<std::string, std::map<std::string, unsigned>> OtherAttemptsByTarget;
  /// The latest lines without a request id that the request's VMs logged in the
  /// 10 s before it. Starts and stops of all VMs if RequestLines is empty.
  std::vector<log_line> PrecedingLines;
};

/// Builds the timeline of the request with id \p Request.
/// \param Lines log lines of all VMs, in any order.
request_timeline buildRequestTimeline(std::span<const log_line> Lines,
                                      std::string_view Request);

} // namespace peridot
