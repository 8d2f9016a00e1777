/// \file
/// Report of one VM to a service's owner about the service's targets.
#pragma once

#include <cstdint>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Identifies a target within its service: a hash of its name.
using target_id = strong_number<struct target_id_tag>;

/// Returns the 32-bit hash that identifies \p Target in reports.
target_id targetIdOf(const target_name &Target);

/// Requests that one VM sent to one target since its last report.
struct target_counts {
  target_id Target;
  std::uint32_t Requests = 0;
  /// Error responses, timeouts, failed and broken connections.
  std::uint32_t Failures = 0;
  /// Responses far above the service's typical latency.
  std::uint32_t Slow = 0;

  bool operator==(const target_counts &) const = default;
};

/// Orders the verdict sets of one service. The highest version applies.
struct verdict_version {
  epoch Epoch; ///< Term of the owner that made the verdicts.
  std::uint64_t Number = 0;

  auto operator<=>(const verdict_version &) const = default;
};

/// Report of one VM on one service.
struct service_report {
  service_name Service;
  duration Period{0};         ///< Time span that the counts cover.
  std::uint64_t Requests = 0; ///< Requests to all targets of the service.
  verdict_version Held;       ///< Version of the verdicts that the VM applies.
  /// Targets with bad requests, and targets on trial.
  std::vector<target_counts> Targets;

  bool operator==(const service_report &) const = default;
};

} // namespace peridot
