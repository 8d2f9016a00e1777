/// \file
/// Verdicts of a service's owner on the service's targets.
#pragma once

#include <vector>

#include "coordination/health/types/health_report.h"

namespace peridot {

/// How all VMs treat a target.
enum class verdict_state : std::uint8_t {
  Serving,
  Trial, ///< Readmission or cold start: gets a few repeatable requests.
  Ejected,
  Draining,
};

/// Verdict on one target.
struct target_verdict {
  target_name Target;
  verdict_state State = verdict_state::Serving;
  /// Number of recent ejections. Each one after the first doubles the next
  /// ejection time and trial length.
  unsigned Relapses = 0;
  /// Data centres that avoid the target because their path to it is faulty.
  std::vector<data_center_name> AvoidedIn;

  bool operator==(const target_verdict &) const = default;
};

/// All verdicts of a service that differ from a default Serving verdict.
struct service_verdicts {
  service_name Service;
  verdict_version Version;
  std::vector<target_verdict> Targets;

  bool operator==(const service_verdicts &) const = default;
};

} // namespace peridot
