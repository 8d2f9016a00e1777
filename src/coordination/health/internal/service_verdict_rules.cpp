/// \file
/// Rules of service_health for ejecting, avoiding and readmitting targets.
#include <algorithm>
#include <utility>

#include "coordination/health/service_health.h"

namespace peridot {

namespace {

/// Fraction of the threshold at which a target on trial is ejected again, and
/// below which a suspicion is dropped.
constexpr double LowThresholdRatio = 0.5;
/// Number of data centres that must report evidence before a target is ejected
/// for the whole fleet, if at least that many send requests to the service.
constexpr unsigned CorroboratingDataCenters = 2;

} // namespace

void service_health::evaluate(target_record &Target, instant Now) {
  const readmission_options &Rules = Options.Readmission;
  const duration InState = Now - Target.Since;
  switch (Target.State) {
  case verdict_state::Serving:
    evaluateServing(Target, Now);
    return;
  case verdict_state::Trial:
    evaluateTrial(Target, Now);
    return;
  case verdict_state::Ejected: {
    const double Length =
        std::min(Target.withBackoff(
                     static_cast<double>(Rules.EjectionTime.count()), Rules),
                 static_cast<double>(Rules.MaxEjectionTime.count()));
    if (static_cast<double>(InState.count()) < Length)
      return;
    break;
  }
  case verdict_state::Draining:
    if (InState < Rules.DrainingTime)
      return;
    break;
  }
  Target.enter(verdict_state::Trial, Now);
  decide(target_trial_started{Target.Name, Target.Relapses});
}

void service_health::evaluateServing(target_record &Target, instant Now) {
  expireAvoidance(Target, Now);
  const double Threshold = Detection.Threshold;
  if (Target.Relapses > 0 &&
      Now - Target.Since > Options.Readmission.ForgetRelapseAfter)
    Target.Relapses = 0;
  if (Target.Evidence.fused() < Threshold * LowThresholdRatio) {
    Target.Suspected = false;
    Target.WithheldReported = false;
  }
  if (hasEjectionEvidence(Target)) {
    if (confirmSuspicion(Target))
      eject(Target, Now);
    return;
  }
  for (const auto &[From, Rate] : Rates.byDataCenter())
    if (Target.Evidence.from(From) >= Threshold &&
        !Target.AvoidedUntil.contains(From))
      avoidLink(Target, From, Now);
}

bool service_health::hasEjectionEvidence(const target_record &Target) const {
  const auto Observing = Rates.byDataCenter().size();
  const double Corroborating =
      Detection.Threshold * Detection.CorroborationRatio;
  const auto ReachesThreshold = [&](const evidence_channel &Channel) {
    if (Channel.fused() < Detection.Threshold)
      return false;
    return Observing < CorroboratingDataCenters ||
           Channel.dataCentersAt(Corroborating) >= CorroboratingDataCenters;
  };
  if (ReachesThreshold(Target.Evidence.failures()) ||
      ReachesThreshold(Target.Evidence.slow()))
    return true;
  // A target that fails for one data centre while another one already avoids it
  // is at fault itself, not the path to it.
  return !Target.AvoidedUntil.empty() &&
         std::ranges::any_of(Rates.byDataCenter(), [&](const auto &Entry) {
           return !Target.AvoidedUntil.contains(Entry.first) &&
                  Target.Evidence.from(Entry.first) >= Detection.Threshold;
         });
}

bool service_health::confirmSuspicion(target_record &Target) {
  if (Detection.ConfirmationThreshold == 0)
    return true;
  if (!Target.Suspected) {
    Target.Suspected = true;
    Target.Evidence.beginConfirmation();
    return false;
  }
  return Target.Evidence.confirmationScore() >= Detection.ConfirmationThreshold;
}

void service_health::evaluateTrial(target_record &Target, instant Now) {
  const readmission_options &Rules = Options.Readmission;
  if (Target.Evidence.fused() >= Detection.Threshold * LowThresholdRatio) {
    const verdict_evidence Evidence = evidenceOf(Target);
    Target.enter(verdict_state::Ejected, Now);
    ++Target.Relapses;
    decide(target_ejected{Target.Name, Evidence, Target.Relapses});
    return;
  }
  const bool HasPassed = Target.GoodTrialRequests >=
                         Target.withBackoff(Rules.TrialRequests, Rules);
  const bool HasTimedOut =
      Target.GoodTrialRequests == 0 && Now - Target.Since >= Rules.TrialTimeout;
  if (!HasPassed && !HasTimedOut)
    return;
  Target.enter(verdict_state::Serving, Now);
  decide(target_readmitted{Target.Name, HasPassed
                                            ? "enough good requests on trial"
                                            : "the trial got no requests"});
}

void service_health::expireAvoidance(target_record &Target, instant Now) {
  std::erase_if(Target.AvoidedUntil, [&](const auto &Entry) {
    const bool Ended = Entry.second <= Now;
    if (Ended)
      Target.Evidence.forget(Entry.first);
    return Ended;
  });
}

void service_health::eject(target_record &Target, instant Now) {
  if (!keepsFloorWithout(Target)) {
    withhold(Target);
    return;
  }
  const verdict_evidence Evidence = evidenceOf(Target);
  Target.enter(verdict_state::Ejected, Now);
  Target.AvoidedUntil.clear();
  ++Target.Relapses;
  decide(target_ejected{Target.Name, Evidence, Target.Relapses});
}

void service_health::avoidLink(target_record &Target,
                               const data_center_name &From, instant Now) {
  if (!keepsFloorIn(From, Target.Slots)) {
    withhold(Target);
    return;
  }
  Target.AvoidedUntil[From] = Now + Options.Readmission.AvoidanceTime;
  decide(link_avoided{Target.Name, From, evidenceOf(Target)});
}

void service_health::withhold(target_record &Target) {
  if (std::exchange(Target.WithheldReported, true))
    return;
  decide(ejection_withheld{Target.Name, evidenceOf(Target), servingSlotCount(),
                           floorSlotCount()});
}

void service_health::restoreFloor(instant Now) {
  while (servingSlotCount() < floorSlotCount()) {
    target_record *Oldest = nullptr;
    for (target_record &Target : Targets) {
      const bool MayReturn = Target.State == verdict_state::Ejected ||
                             Target.State == verdict_state::Trial;
      if (MayReturn && (!Oldest || Target.Since < Oldest->Since))
        Oldest = &Target;
    }
    if (!Oldest)
      break;
    const verdict_evidence Evidence = evidenceOf(*Oldest);
    Oldest->enter(verdict_state::Serving, Now);
    decide(ejection_withheld{Oldest->Name, Evidence, servingSlotCount(),
                             floorSlotCount()});
  }
  // A faulty path still gives more capacity than none: stop avoiding targets in
  // data centres that would fall below the floor.
  for (target_record &Target : Targets)
    std::erase_if(Target.AvoidedUntil, [&](const auto &Entry) {
      return !keepsFloorIn(Entry.first, 0);
    });
}

bool service_health::keepsFloorWithout(const target_record &Target) const {
  if (!keepsFloorIn({}, Target.Slots))
    return false;
  for (const auto &[From, Rate] : Rates.byDataCenter())
    if (Target.isServingFrom(From) && !keepsFloorIn(From, Target.Slots))
      return false;
  return true;
}

bool service_health::keepsFloorIn(const data_center_view &View,
                                  unsigned Slots) const {
  return mayRemove(targetCapacities(View), FloorPercent, Slots);
}

std::vector<target_capacity>
service_health::targetCapacities(const data_center_view &View) const {
  std::vector<target_capacity> Capacities;
  for (const target_record &Target : Targets)
    Capacities.push_back(
        {.Slots = Target.Slots,
         .Serving = View ? Target.isServingFrom(*View) : Target.isServing()});
  return Capacities;
}

unsigned service_health::floorSlotCount() const {
  return floorSlots(targetCapacities({}), FloorPercent);
}

unsigned service_health::servingSlotCount() const {
  return servingSlots(targetCapacities({}));
}

verdict_evidence service_health::evidenceOf(const target_record &Target) const {
  request_sample Others;
  for (const target_record &Each : Targets)
    if (&Each != &Target)
      Others += Each.Evidence.recent();
  const request_sample &Own = Target.Evidence.recent();
  double Score = Target.Evidence.fused();
  for (const auto &[From, Rate] : Rates.byDataCenter())
    Score = std::max(Score, Target.Evidence.from(From));
  const auto Share = [](double Bad, double Requests) {
    return Requests > 0 ? Bad / Requests : 0;
  };
  return {.Score = Score,
          .Threshold = Detection.Threshold,
          .FailureShare = Share(Own.Failures, Own.Requests),
          .SlowShare = Share(Own.Slow, Own.Requests),
          .PeerFailureShare = Share(Others.Failures, Others.Requests)};
}

} // namespace peridot
