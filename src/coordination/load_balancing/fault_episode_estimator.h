/// \file
/// Estimates from the ends of attempts whether a target is in a fault episode.
#pragma once

#include "coordination/health/types/attempt_observation.h"
#include "coordination/load_balancing/types/load_balancer_options.h"

namespace peridot {

/// A two-state Markov model: between observations the estimate returns to the
/// share of time that targets are failing, as episodes begin and end.
class fault_episode_estimator {
public:
  explicit fault_episode_estimator(const fault_episode_options &Options);

  /// Updates the estimate with the end of an attempt; ignores Cancelled.
  void note(attempt_end End, instant Now);
  /// Records the latency of a successful request relative to its typical one.
  void noteLatencyRatio(double Ratio);

  /// Returns the probability, from 0 to 1, that the target is failing at \p
  /// Now.
  double faultProbability(instant Now) const;
  /// Returns the time since the last observation; zero if there was none.
  duration timeSinceObservation(instant Now) const {
    return ObservedAt == instant{} ? duration{0} : Now - ObservedAt;
  }
  /// Returns the average latency of requests relative to their typical one.
  double latencyRatio() const { return LatencyRatio; }

private:
  /// Multiplies the odds that the target is failing.
  void applyOdds(double Odds, instant Now);

  fault_episode_options Options;
  double FaultProbability;
  instant ObservedAt{};
  double LatencyRatio = 1.0;
};

} // namespace peridot
