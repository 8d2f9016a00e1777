/// \file
/// One target as its service's detector knows it.
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
  /// Set while a second look goes on.
  bool Suspected = false;
  /// Set once a withheld ejection was told, until the score falls again.
  bool WithheldTold = false;
  double TrialGood = 0;

  bool isServing() const { return State == verdict_state::Serving; }
  bool isServingFrom(const data_center_name &DataCenter) const {
    return isServing() && !AvoidedUntil.contains(DataCenter);
  }
  void enter(verdict_state Next, instant Now);
  /// \p Base doubled for each relapse after the first.
  double lengthened(double Base, const readmission_options &Options) const;
};

} // namespace peridot
