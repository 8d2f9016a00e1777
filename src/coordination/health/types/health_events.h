/// \file
/// Events that a service's detector handles and the decisions it makes.
#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "coordination/health/types/health_report.h"

namespace peridot {

/// A report from a VM was received.
struct report_received {
  vm_name Observer;
  data_center_name DataCenter; ///< The observer's data centre.
  service_report Report;
};

/// A target announced that it is draining.
struct drain_noticed {
  target_id Target;
};

/// Periodic tick, about twice a second.
struct time_passed {};

using health_event = std::variant<report_received, drain_noticed, time_passed>;

/// Figures that a decision is based on.
struct verdict_evidence {
  double Score = 0;
  double Threshold = 0;
  /// Fractions of failed and slow requests among the target's recent ones.
  double FailureShare = 0;
  double SlowShare = 0;
  /// Fraction of failed requests among the other targets' recent ones.
  double PeerFailureShare = 0;
};

/// A target was ejected.
struct target_ejected {
  target_name Target;
  verdict_evidence Evidence;
  unsigned Relapses = 0;
};

/// A target stays in service, or returns to it, to keep the floor.
struct ejection_withheld {
  target_name Target;
  verdict_evidence Evidence;
  unsigned ServingSlots = 0;
  unsigned FloorSlots = 0;
};

/// VMs in one data centre stop using a target that fails only for them.
struct link_avoided {
  target_name Target;
  data_center_name DataCenter;
  verdict_evidence Evidence;
};

/// A target receives trial requests again.
struct target_trial_started {
  target_name Target;
  unsigned Relapses = 0;
};

/// A trial ended and the target serves again.
struct target_readmitted {
  target_name Target;
  std::string_view Rule; ///< Rule that ended the trial.
};

/// A target announced that it is draining.
struct target_draining {
  target_name Target;
};

using health_decision =
    std::variant<target_ejected, ejection_withheld, link_avoided,
                 target_trial_started, target_readmitted, target_draining>;
using health_decisions = std::vector<health_decision>;

} // namespace peridot
