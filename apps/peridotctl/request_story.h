/// \file
/// What logs tell about one request: its own lines, what else failed at its
/// targets at that time, and what its VMs had learnt before.
#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/operator_documents/log_lines.h"

namespace peridot {

struct request_story {
  std::vector<log_line> Own; ///< Lines with the request's id.
  /// For each target of the request, how attempts of other requests ended there
  /// within TargetSpan of it.
  std::map<std::string, std::map<std::string, unsigned>> AtTargets;
  /// The last lines about no request that its VMs wrote before. Without any
  /// line of its own: all starts and stops.
  std::vector<log_line> Before;
};

/// \param Lines of all VMs, in any order.
request_story tellRequest(std::span<const log_line> Lines,
                          std::string_view Request);

} // namespace peridot
