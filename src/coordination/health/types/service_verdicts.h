/// \file
/// What a service's owner decided about its targets.
#pragma once

#include <vector>

#include "coordination/health/types/health_report.h"

namespace peridot {

/// What all VMs do with a target.
enum class verdict_state : std::uint8_t {
  Serving,
  Trial, ///< Readmission or cold start: a trickle of repeatable requests.
  Ejected,
  Draining,
};

/// The verdict on one target.
struct target_verdict {
  target_name Target;
  verdict_state State = verdict_state::Serving;
  /// Ejections in the recent past; each doubles the next trial.
  unsigned Relapses = 0;
  /// Data centres whose path to the target is at fault.
  std::vector<data_center_name> AvoidedIn;

  bool operator==(const target_verdict &) const = default;
};

/// All verdicts of a service that differ from a plain Serving.
struct service_verdicts {
  service_name Service;
  verdict_version Version;
  std::vector<target_verdict> Targets;

  bool operator==(const service_verdicts &) const = default;
};

} // namespace peridot
