#include "coordination/load_balancing/fault_episode_estimator.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Bounds of the estimate: at 0 or 1 no evidence could change it.
constexpr double MinFaultProbability = 0.004;
constexpr double MaxFaultProbability = 0.99;

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

fault_episode_estimator::fault_episode_estimator(
    const fault_episode_options &Options)
    : Options(Options), FaultProbability(Options.InitialFaultProbability) {}

double fault_episode_estimator::faultProbability(instant Now) const {
  if (ObservedAt == instant{})
    return FaultProbability;
  const double Relaxation =
      seconds(Options.MeanEpisode) * (1 - Options.FailingShare);
  const double DecayFactor =
      std::exp(-std::max(0.0, seconds(Now - ObservedAt)) / Relaxation);
  return Options.FailingShare +
         (FaultProbability - Options.FailingShare) * DecayFactor;
}

void fault_episode_estimator::applyOdds(double Odds, instant Now) {
  const double Before = faultProbability(Now);
  const double Weighted = Before * Odds;
  FaultProbability = std::clamp(Weighted / (Weighted + 1 - Before),
                                MinFaultProbability, MaxFaultProbability);
  ObservedAt = std::max(ObservedAt, Now);
}

void fault_episode_estimator::note(attempt_end End, instant Now) {
  switch (End) {
  case attempt_end::Responded:
    applyOdds((1 - Options.FailureShareWhenFailing) /
                  (1 - Options.FailureShareWhenHealthy),
              Now);
    return;
  case attempt_end::Shed:
    applyOdds(Options.ShedOdds, Now);
    return;
  case attempt_end::RespondedError:
  case attempt_end::ConnectFailed:
  case attempt_end::TimedOut:
  case attempt_end::Broken:
    applyOdds(Options.FailureShareWhenFailing / Options.FailureShareWhenHealthy,
              Now);
    return;
  case attempt_end::Cancelled:
    return;
  }
}

void fault_episode_estimator::noteLatencyRatio(double Ratio) {
  LatencyRatio += Options.LatencyRatioWeight * (Ratio - LatencyRatio);
}

} // namespace peridot
