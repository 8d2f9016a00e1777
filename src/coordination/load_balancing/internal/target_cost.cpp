#include "coordination/load_balancing/target_cost.h"

#include <algorithm>

namespace peridot {

namespace {

constexpr double BytesPerKilobyte = 1'000;

/// Returns a pseudo-random number from 0 to 1 for each pair of random bits and
/// target.
double jitter(std::uint64_t Random, std::size_t TargetHash) {
  constexpr std::uint64_t Multiplier = 0x9E3779B97F4A7C15U;
  const std::uint64_t Mixed = (Random ^ (TargetHash * Multiplier)) * Multiplier;
  return static_cast<double>(Mixed >> 11U) * 0x1.0p-53;
}

} // namespace

double target_cost::loadCost(double Own, double Others, double Slots) const {
  const double Capacity = std::max(Slots, 1.0);
  const double Load = std::min((Own + 1) / Capacity, 1.0);
  // Few requests of others do not lower the cost: others may avoid the target.
  const double Excess = std::max((Own + Others + 1) / Capacity - 1, 0.0);
  return Costs.FullLoadCost * Load * Load + Costs.OverloadCost * Excess;
}

double target_cost::othersRunningAt(const target_estimate &Known,
                                    instant Now) const {
  const duration Latency = Known.typicalLatency();
  const bool IsLatencyUsed =
      Aging == load_aging::ByLatency && Latency > duration{0};
  return Known.othersRunning(Now, IsLatencyUsed
                                      ? std::min(Latency, Costs.LoadDecayTime)
                                      : Costs.LoadDecayTime);
}

double target_cost::of(const target &Target, const target_estimate *Known,
                       const request_traits &Request,
                       const choice_context &Context) const {
  double FaultProbability = Episodes.InitialFaultProbability;
  double Own = 0;
  double Others = 0;
  double SlownessCost = 0;
  double Unobserved = 0;
  if (Known) {
    FaultProbability = Known->faultProbability(Context.Now);
    Own = Known->ownRunning();
    Others = othersRunningAt(*Known, Context.Now);
    SlownessCost = std::clamp((Known->latencyRatio() - 1) * Costs.SlownessCost,
                              0.0, Costs.MaxSlownessCost);
    Unobserved = std::min(
        1.0, std::chrono::duration<double>(
                 Known->timeSinceObservation(Context.Now)) /
                 std::chrono::duration<double>(Costs.FullExplorationAfter));
  }
  const double FailureProbability =
      FaultProbability * Episodes.FailureShareWhenFailing;
  double Cost = Request.IsRepeatable
                    ? FailureProbability * Costs.RepeatableFactor
                    : FailureProbability;
  const double Bonus =
      Request.LeavesTrialsToOthers ? 0 : Costs.ExplorationBonus;
  Cost +=
      SlownessCost - Bonus * Unobserved + loadCost(Own, Others, Target.Slots);
  if (Target.DataCenter != Context.DataCenter)
    Cost += Costs.CrossDataCenterCost +
            Costs.CrossDataCenterCostPerKilobyte *
                static_cast<double>(Request.ExpectedBytes) / BytesPerKilobyte;
  return Cost + Costs.MaxJitter * jitter(Context.Random,
                                         std::hash<target_name>{}(Target.Name));
}

bool target_cost::isFreeAndSound(const target &Target,
                                 const target_estimate &Known,
                                 instant Now) const {
  const double Running = Known.ownRunning() + othersRunningAt(Known, Now);
  return Running + 1 <= static_cast<double>(std::max(Target.Slots, 1U)) &&
         Known.latencyRatio() <= Costs.MaxSoundLatencyRatio &&
         Known.faultProbability(Now) <= Costs.MaxSoundFaultProbability;
}

} // namespace peridot
