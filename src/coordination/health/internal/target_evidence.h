/// \file
/// What the fleet's reports say about one target.
#pragma once

#include <map>
#include <vector>

#include "coordination/health/sequential_test.h"
#include "coordination/health/types/health_report.h"

namespace peridot {

/// Requests to one target from one data centre, by what they showed.
struct request_sample {
  double Requests = 0;
  double Failures = 0;
  double Slow = 0;

  request_sample &operator+=(const request_sample &Other);
  request_sample &operator-=(const request_sample &Other);
  request_sample &operator*=(double Factor);
};

using samples_by_data_center = std::map<data_center_name, request_sample>;

/// Share of bad requests at the other targets of the service.
struct peer_shares {
  double Failures = 0;
  double Slow = 0;
};

/// Scores of one kind of evidence.
class evidence_channel {
public:
  void add(const data_center_name &From, double Increment, double Bound);
  /// Adds one period's evidence of all data centres.
  void addFused(double Increment, double Bound) { Fused.add(Increment, Bound); }
  void reset();
  void forget(const data_center_name &From) { ByDataCenter.erase(From); }

  double fused() const { return Fused.score(); }
  double from(const data_center_name &DataCenter) const;
  /// Data centres whose own score reaches \p Score.
  unsigned dataCentersAt(double Score) const;

private:
  cusum Fused;
  std::map<data_center_name, cusum> ByDataCenter;
};

/// Evidence about one target; sums what came in and scores it each period.
class target_evidence {
public:
  void note(const data_center_name &From, const target_counts &Counts);
  /// What was noted since the last call.
  samples_by_data_center takeNoted();

  void score(const detection_options &Options,
             const samples_by_data_center &Samples, const peer_shares &Peers);
  /// Begins the second look; later scores count for it.
  void beginSecondLook() { SecondLook.reset(); }
  void reset();
  /// Drops what one data centre showed, as after its path was avoided.
  void forget(const data_center_name &From);

  const evidence_channel &failures() const { return Failures; }
  const evidence_channel &slow() const { return Slow; }
  /// Higher of the two fused scores.
  double fused() const;
  double from(const data_center_name &DataCenter) const;
  double secondLook() const { return SecondLook.score(); }
  /// Recent requests, older ones with less weight.
  const request_sample &recent() const { return Recent; }
  void age(double Factor) { Recent *= Factor; }

private:
  double scoreChannel(evidence_channel &Channel,
                      const test_hypotheses &Hypotheses,
                      const samples_by_data_center &Samples,
                      double request_sample::*Bad, double Bound);

  samples_by_data_center Noted;
  evidence_channel Failures;
  evidence_channel Slow;
  cusum SecondLook;
  request_sample Recent;
};

} // namespace peridot
