/// \file
/// What one VM reports to a service's owner about that service's targets.
#pragma once

#include <cstdint>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Short name of a target inside its service: a hash of its name.
using target_id = strong_number<struct target_id_tag>;

/// The 32-bit hash under which reports name \p Target.
target_id targetIdOf(const target_name &Target);

/// What one VM saw of one target since its last report.
struct target_counts {
  target_id Target;
  std::uint32_t Requests = 0;
  std::uint32_t Failures = 0; ///< Errors, timeouts, broken or no connections.
  std::uint32_t Slow = 0; ///< Answers far above the service's usual latency.

  bool operator==(const target_counts &) const = default;
};

/// Orders the verdict sets of one service: the higher one is in force.
struct verdict_version {
  epoch Epoch; ///< Term of the owner that decided.
  std::uint64_t Number = 0;

  auto operator<=>(const verdict_version &) const = default;
};

/// One VM's report on one service.
struct service_report {
  service_name Service;
  duration Period{0};         ///< Time that the counts cover.
  std::uint64_t Requests = 0; ///< To all targets of the service.
  verdict_version Held;       ///< Verdicts that the VM has in force.
  /// Targets that depart from the usual, and those on trial.
  std::vector<target_counts> Targets;

  bool operator==(const service_report &) const = default;
};

} // namespace peridot
