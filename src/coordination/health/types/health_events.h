/// \file
/// Events that a service's detector handles and decisions that it takes.
#pragma once

#include <string_view>
#include <variant>
#include <vector>

#include "coordination/health/types/health_report.h"

namespace peridot {

/// A VM's report came in.
struct report_received {
  vm_name Observer;
  data_center_name DataCenter; ///< Of the observer.
  service_report Report;
};

/// A target said that it will leave.
struct drain_noticed {
  target_id Target;
};

/// Time went on; handled about twice a second.
struct time_passed {};

using health_event = std::variant<report_received, drain_noticed, time_passed>;

/// The numbers behind a verdict.
struct verdict_evidence {
  double Score = 0;
  double Threshold = 0;
  double FailureShare = 0; ///< Of the target's recent requests.
  double SlowShare = 0;
  double PeerFailureShare = 0; ///< Of the other targets' recent requests.
};

struct target_ejected {
  target_name Target;
  verdict_evidence Evidence;
  unsigned Relapses = 0;
};
struct ejection_withheld {
  target_name Target;
  verdict_evidence Evidence;
  unsigned ServingSlots = 0;
  unsigned FloorSlots = 0;
};
struct link_avoided {
  target_name Target;
  data_center_name DataCenter;
  verdict_evidence Evidence;
};
struct target_trial_started {
  target_name Target;
  unsigned Relapses = 0;
};
struct target_readmitted {
  target_name Target;
  std::string_view Rule; ///< Which rule ended the ejection.
};
struct target_draining {
  target_name Target;
};

using health_decision =
    std::variant<target_ejected, ejection_withheld, link_avoided,
                 target_trial_started, target_readmitted, target_draining>;
using health_decisions = std::vector<health_decision>;

} // namespace peridot
