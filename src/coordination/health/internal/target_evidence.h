/// \file
/// Evidence about one target from the fleet's reports.
#pragma once

#include <map>
#include <vector>

#include "coordination/health/sequential_test.h"
#include "coordination/health/types/health_report.h"

namespace peridot {

/// Number of requests to one target, and of failed and slow ones among them.
struct request_sample {
  double Requests = 0;
  double Failures = 0;
  double Slow = 0;

  request_sample &operator+=(const request_sample &Other);
  request_sample &operator-=(const request_sample &Other);
  request_sample &operator*=(double Factor);
};

using samples_by_data_center = std::map<data_center_name, request_sample>;

/// Fractions of failed and slow requests at the service's other targets.
struct peer_shares {
  double Failures = 0;
  double Slow = 0;
};

/// Scores of one kind of evidence: failures or slow responses.
class evidence_channel {
public:
  void add(const data_center_name &From, double Increment, double Bound);
  /// Adds one period's evidence from all data centres.
  void addFused(double Increment, double Bound) { Fused.add(Increment, Bound); }
  void reset();
  void forget(const data_center_name &From) { ByDataCenter.erase(From); }

  double fused() const { return Fused.score(); }
  double from(const data_center_name &DataCenter) const;
  /// Number of data centres whose own score is at least \p Score.
  unsigned dataCentersAt(double Score) const;

private:
  cusum Fused;
  std::map<data_center_name, cusum> ByDataCenter;
};

/// Sums the reported counts of one target and scores them each period.
class target_evidence {
public:
  void addCounts(const data_center_name &From, const target_counts &Counts);
  /// Takes the counts added since the last call.
  samples_by_data_center takePending();

  void score(const detection_options &Options,
             const samples_by_data_center &Samples, const peer_shares &Peers);
  /// Opens the confirmation window; only later scores count for it.
  void beginConfirmation() { Confirmation.reset(); }
  void reset();
  /// Drops the evidence from one data centre, for example after it stopped
  /// avoiding the target.
  void forget(const data_center_name &From);

  const evidence_channel &failures() const { return Failures; }
  const evidence_channel &slow() const { return Slow; }
  /// Higher of the two fused scores.
  double fused() const;
  double from(const data_center_name &DataCenter) const;
  double confirmationScore() const { return Confirmation.score(); }
  /// Recent requests; older ones count less.
  const request_sample &recent() const { return Recent; }
  void age(double Factor) { Recent *= Factor; }

private:
  double scoreChannel(evidence_channel &Channel,
                      const test_hypotheses &Hypotheses,
                      const samples_by_data_center &Samples,
                      double request_sample::*Bad, double Bound);

  samples_by_data_center Pending;
  evidence_channel Failures;
  evidence_channel Slow;
  cusum Confirmation;
  request_sample Recent;
};

} // namespace peridot
