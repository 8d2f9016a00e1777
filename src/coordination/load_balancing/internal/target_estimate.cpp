#include "coordination/load_balancing/target_estimate.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Fault probability above which a target counts as failing.
constexpr double MaxSoundFaultProbability = 0.5;

} // namespace

void target_estimate::begin(const running_attempt &Attempt) {
  LastUsedAt = Attempt.StartedAt;
  if (Attempt.TypicalLatency > duration{0})
    TypicalLatency = Attempt.TypicalLatency;
  Running.push_back(Attempt);
}

void target_estimate::noteEnd(attempt_end End, instant Now) {
  if (Estimator.faultProbability(Now) <= MaxSoundFaultProbability)
    RecentSoundAttempts.note(End, Now);
  Estimator.note(End, Now);
  RecentAttempts.note(End, Now);
}

void target_estimate::end(std::uint64_t Id, attempt_end End,
                          std::optional<double> LatencyRatio, instant Now) {
  std::erase_if(Running,
                [Id](const running_attempt &Each) { return Each.Id == Id; });
  noteEnd(End, Now);
  if (LatencyRatio)
    Estimator.noteLatencyRatio(*LatencyRatio);
}

void target_estimate::recordPeerAttempt(attempt_end End, instant Now) {
  LastUsedAt = Now;
  noteEnd(End, Now);
}

void target_estimate::noteLoad(const reported_load &Load, instant Now) {
  const auto Total = static_cast<double>(Load.Running + Load.Waiting);
  OthersRunning = std::max(0.0, Total - ownRunning());
  LoadReportedAt = Now;
}

double target_estimate::faultProbability(instant Now) const {
  double Odds = 1;
  for (const running_attempt &Each : Running)
    if (Each.TypicalLatency > duration{0} &&
        Now - Each.StartedAt > Each.TypicalLatency * Episodes.OverdueFactor)
      Odds *= Episodes.OverdueOdds;
  const double Probability = Estimator.faultProbability(Now);
  const double Weighted = Probability * Odds;
  return Weighted / (Weighted + 1 - Probability);
}

double target_estimate::othersRunning(instant Now, duration DecayTime) const {
  if (OthersRunning == 0)
    return 0;
  const double Age = std::chrono::duration<double>(Now - LoadReportedAt) /
                     std::chrono::duration<double>(DecayTime);
  return OthersRunning * std::exp(-std::max(Age, 0.0));
}

} // namespace peridot
