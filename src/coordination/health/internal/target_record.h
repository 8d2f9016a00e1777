/// \file
/// Record that a service's detector keeps on one target.
#pragma once

#include "coordination/health/internal/target_evidence.h"
#include "coordination/health/types/health_options.h"
#include "coordination/health/types/service_verdicts.h"

namespace peridot {

/// State and evidence of one target.
struct target_record {
  target_name Name;
  target_id Id;
  unsigned Slots = 0;
  verdict_state State = verdict_state::Serving;
  instant Since{}; ///< When the state was entered or last confirmed.
  unsigned Relapses = 0;
  std::map<data_center_name, instant> AvoidedUntil;
  target_evidence Evidence;
  /// Whether the target is in its confirmation window.
  bool Suspected = false;
  /// Whether a withheld ejection was recorded; cleared when the score drops.
  bool WithheldReported = false;
  double GoodTrialRequests = 0;

  bool isServing() const { return State == verdict_state::Serving; }
  bool isServingFrom(const data_center_name &DataCenter) const {
    return isServing() && !AvoidedUntil.contains(DataCenter);
  }
  void enter(verdict_state Next, instant Now);
  /// Returns \p Base doubled for each relapse after the first, up to the limit.
  double withBackoff(double Base, const readmission_options &Options) const;
};

} // namespace peridot
