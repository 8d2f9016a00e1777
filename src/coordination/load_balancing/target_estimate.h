/// \file
/// What one traffic thread knows about a target.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/load_balancing/attempt_counts.h"
#include "coordination/load_balancing/fault_episode_estimator.h"
#include "coordination/load_balancing/types/reported_load.h"

namespace peridot {

/// A running request at a target.
struct running_attempt {
  std::uint64_t Id = 0;
  instant StartedAt{};
  duration TypicalLatency{0}; ///< Zero: unknown.
};

/// Faults, latency and load of one target; not thread-safe.
class target_estimate {
public:
  explicit target_estimate(const fault_episode_options &Episodes)
      : Episodes(Episodes), Estimator(Episodes) {}

  void begin(const running_attempt &Attempt);
  /// Ends a request that this thread sent. \p LatencyRatio is its latency
  /// relative to the typical one, if known.
  void end(std::uint64_t Id, attempt_end End,
           std::optional<double> LatencyRatio, instant Now);
  /// Records an attempt of a peer.
  void recordPeerAttempt(attempt_end End, instant Now);
  /// Records the load that the target reported in a response to a request that
  /// has not ended yet.
  void noteLoad(const reported_load &Load, instant Now);

  /// Returns the probability that the target is failing, taking overdue
  /// requests into account.
  double faultProbability(instant Now) const;
  double latencyRatio() const { return Estimator.latencyRatio(); }
  duration timeSinceObservation(instant Now) const {
    return Estimator.timeSinceObservation(Now);
  }
  /// Returns the number of requests of this thread.
  double ownRunning() const { return static_cast<double>(Running.size()); }
  /// Returns the estimated number of requests of others, which decays to 37%
  /// within \p DecayTime after the last report.
  double othersRunning(instant Now, duration DecayTime) const;
  /// Returns the typical latency of the latest request; zero: unknown.
  duration typicalLatency() const { return TypicalLatency; }
  bool isRunning() const { return !Running.empty(); }
  /// Whether this VM or a peer used the target within \p Period.
  bool isUsedWithin(duration Period, instant Now) const {
    return Now - LastUsedAt < Period;
  }
  const attempt_counts &recentAttempts() const { return RecentAttempts; }
  /// Returns the attempts that were made while the target did not seem to fail.
  /// Trials of failing targets are not among them, so that they do not call for
  /// more trials.
  const attempt_counts &recentSoundAttempts() const {
    return RecentSoundAttempts;
  }

private:
  void noteEnd(attempt_end End, instant Now);

  fault_episode_options Episodes;
  fault_episode_estimator Estimator;
  attempt_counts RecentAttempts;
  attempt_counts RecentSoundAttempts;
  std::vector<running_attempt> Running;
  instant LastUsedAt{};
  /// Requests of others when the target last reported its load.
  double OthersRunning = 0;
  instant LoadReportedAt{};
  duration TypicalLatency{0}; ///< Of the latest request; zero: unknown.
};

} // namespace peridot
