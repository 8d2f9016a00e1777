/// \file
/// The rules by which service_health ejects, avoids and readmits.
#include <algorithm>
#include <utility>

#include "coordination/health/service_health.h"

namespace peridot {

namespace {

/// Part of the threshold at which a target on trial has relapsed, and below
/// which a suspicion is dropped.
constexpr double HalfThreshold = 0.5;
/// A second data centre confirms what the first one sees.
constexpr unsigned ConfirmingDataCenters = 2;

} // namespace

void service_health::judge(target_record &Target, instant Now) {
  const readmission_options &Rules = Options.Readmission;
  const duration InState = Now - Target.Since;
  switch (Target.State) {
  case verdict_state::Serving:
    judgeServing(Target, Now);
    return;
  case verdict_state::Trial:
    judgeTrial(Target, Now);
    return;
  case verdict_state::Ejected: {
    const double Length =
        std::min(Target.lengthened(
                     static_cast<double>(Rules.EjectionTime.count()), Rules),
                 static_cast<double>(Rules.LongestEjection.count()));
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

void service_health::judgeServing(target_record &Target, instant Now) {
  expireAvoidance(Target, Now);
  const double Threshold = Detection.Threshold;
  if (Target.Relapses > 0 &&
      Now - Target.Since > Options.Readmission.ForgetRelapseAfter)
    Target.Relapses = 0;
  if (Target.Evidence.fused() < Threshold * HalfThreshold) {
    Target.Suspected = false;
    Target.WithheldTold = false;
  }
  if (isAccused(Target)) {
    if (passesSecondLook(Target))
      eject(Target, Now);
    return;
  }
  for (const auto &[From, Rate] : Rates.byDataCenter())
    if (Target.Evidence.from(From) >= Threshold &&
        !Target.AvoidedUntil.contains(From))
      avoidLink(Target, From, Now);
}

bool service_health::isAccused(const target_record &Target) const {
  const auto Observing = Rates.byDataCenter().size();
  const double Confirming = Detection.Threshold * Detection.ConfirmShare;
  const auto Accuses = [&](const evidence_channel &Channel) {
    if (Channel.fused() < Detection.Threshold)
      return false;
    return Observing < ConfirmingDataCenters ||
           Channel.dataCentersAt(Confirming) >= ConfirmingDataCenters;
  };
  if (Accuses(Target.Evidence.failures()) || Accuses(Target.Evidence.slow()))
    return true;
  // Avoided in one data centre and ill for another: the target is at fault.
  return !Target.AvoidedUntil.empty() &&
         std::ranges::any_of(Rates.byDataCenter(), [&](const auto &Entry) {
           return !Target.AvoidedUntil.contains(Entry.first) &&
                  Target.Evidence.from(Entry.first) >= Detection.Threshold;
         });
}

bool service_health::passesSecondLook(target_record &Target) {
  if (Detection.SecondLook == 0)
    return true;
  if (!Target.Suspected) {
    Target.Suspected = true;
    Target.Evidence.beginSecondLook();
    return false;
  }
  return Target.Evidence.secondLook() >= Detection.SecondLook;
}

void service_health::judgeTrial(target_record &Target, instant Now) {
  const readmission_options &Rules = Options.Readmission;
  if (Target.Evidence.fused() >= Detection.Threshold * HalfThreshold) {
    const verdict_evidence Evidence = evidenceOf(Target);
    Target.enter(verdict_state::Ejected, Now);
    ++Target.Relapses;
    decide(target_ejected{Target.Name, Evidence, Target.Relapses});
    return;
  }
  const bool Proven =
      Target.TrialGood >= Target.lengthened(Rules.TrialRequests, Rules);
  const bool Untried =
      Target.TrialGood == 0 && Now - Target.Since >= Rules.TrialLimit;
  if (!Proven && !Untried)
    return;
  Target.enter(verdict_state::Serving, Now);
  decide(target_readmitted{Target.Name, Proven ? "enough good requests on trial"
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
  if (std::exchange(Target.WithheldTold, true))
    return;
  decide(ejection_withheld{Target.Name, evidenceOf(Target), servingSlotCount(),
                           floorSlotCount()});
}

void service_health::restoreFloor(instant Now) {
  while (servingSlotCount() < floorSlotCount()) {
    target_record *Longest = nullptr;
    for (target_record &Target : Targets) {
      const bool MayReturn = Target.State == verdict_state::Ejected ||
                             Target.State == verdict_state::Trial;
      if (MayReturn && (!Longest || Target.Since < Longest->Since))
        Longest = &Target;
    }
    if (!Longest)
      break;
    const verdict_evidence Evidence = evidenceOf(*Longest);
    Longest->enter(verdict_state::Serving, Now);
    decide(ejection_withheld{Longest->Name, Evidence, servingSlotCount(),
                             floorSlotCount()});
  }
  // An avoided path still leads to more capacity than none.
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
  return mayRemove(holders(View), FloorPercent, Slots);
}

std::vector<slot_holder>
service_health::holders(const data_center_view &View) const {
  std::vector<slot_holder> Holders;
  for (const target_record &Target : Targets)
    Holders.push_back(
        {.Slots = Target.Slots,
         .Serving = View ? Target.isServingFrom(*View) : Target.isServing()});
  return Holders;
}

unsigned service_health::floorSlotCount() const {
  return floorSlots(holders({}), FloorPercent);
}

unsigned service_health::servingSlotCount() const {
  return servingSlots(holders({}));
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
