#include "coordination/health/service_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

/// Half-life of requests in the recent counts.
constexpr double RecentHalfLifeSeconds = 3;
/// Number of baseline requests mixed into each fraction as a prior, so that a
/// few requests do not distort it.
constexpr double PriorRequests = 10;
/// Upper bound on the time that one tick scores.
constexpr double MaxPeriodSeconds = 5;

double shareOf(double Bad, double Requests, double Baseline) {
  return (std::max(Bad, 0.0) + Baseline * PriorRequests) /
         (std::max(Requests, 0.0) + PriorRequests);
}

} // namespace

health_decisions service_health::configure(const service &Declared,
                                           instant Now) {
  FloorPercent = Declared.FloorPercent;
  Detection = Options.Detection.value_or(detectionFor(Declared.Ejection));
  std::vector<target_record> Known = std::exchange(Targets, {});
  for (const target &Target : Declared.Targets) {
    const auto Found =
        std::ranges::find(Known, Target.Name, &target_record::Name);
    if (Found != Known.end()) {
      Found->Slots = Target.Slots;
      Targets.push_back(std::move(*Found));
      continue;
    }
    Targets.push_back({.Name = Target.Name,
                       .Id = targetIdOf(Target.Name),
                       .Slots = Target.Slots,
                       .Since = Now});
    if (Configured)
      Targets.back().State = verdict_state::Trial;
  }
  Verdicts.Service = Declared.Name;
  Configured = true;
  restoreFloor(Now);
  return takeDecisions();
}

health_decisions service_health::adopt(const service_verdicts &Held,
                                       instant Now) {
  for (target_record &Target : Targets) {
    const auto Found =
        std::ranges::find(Held.Targets, Target.Name, &target_verdict::Target);
    const target_verdict Verdict =
        Found == Held.Targets.end() ? target_verdict{} : *Found;
    Target.enter(Verdict.State, Now);
    Target.Relapses = Verdict.Relapses;
    Target.AvoidedUntil.clear();
    for (const data_center_name &DataCenter : Verdict.AvoidedIn)
      Target.AvoidedUntil[DataCenter] = Now + Options.Readmission.AvoidanceTime;
  }
  restoreFloor(Now);
  return takeDecisions();
}

void service_health::beginTerm(epoch Epoch, verdict_version Held) {
  const std::uint64_t Number = Held.Epoch == Epoch ? Held.Number : 0;
  Verdicts.Version = {.Epoch = Epoch, .Number = Number + 1};
}

health_decisions service_health::handle(const health_event &Event,
                                        instant Now) {
  std::visit([&](const auto &Each) { on(Each, Now); }, Event);
  return takeDecisions();
}

void service_health::on(const report_received &Event, instant Now) {
  Rates.record(Event.Observer, Event.DataCenter, Event.Report, Now);
  for (const target_counts &Counts : Event.Report.Targets)
    if (target_record *Target = find(Counts.Target))
      Target->Evidence.addCounts(Event.DataCenter, Counts);
}

void service_health::on(const drain_noticed &Event, instant Now) {
  target_record *Target = find(Event.Target);
  if (!Target)
    return;
  const bool IsNew = Target->State != verdict_state::Draining;
  Target->enter(verdict_state::Draining, Now);
  if (IsNew)
    decide(target_draining{Target->Name});
  restoreFloor(Now);
}

void service_health::on(const time_passed & /*Event*/, instant Now) {
  Rates.expire(Now);
  if (ScoredAt)
    scorePeriod(std::min(std::chrono::duration<double>(Now - *ScoredAt).count(),
                         MaxPeriodSeconds));
  ScoredAt = Now;
  for (target_record &Target : Targets)
    evaluate(Target, Now);
  restoreFloor(Now);
}

void service_health::scorePeriod(double Seconds) {
  const auto RequestsPerSecond = Rates.byDataCenter();
  const double Aging = std::exp2(-Seconds / RecentHalfLifeSeconds);
  std::vector<samples_by_data_center> Samples;
  std::vector<request_sample> PeriodByTarget;
  request_sample Period;
  request_sample Recent;
  for (target_record &Target : Targets) {
    Samples.push_back(samplesOf(Target, Seconds, RequestsPerSecond));
    request_sample Sum;
    for (const auto &[From, Sample] : Samples.back())
      Sum += Sample;
    PeriodByTarget.push_back(Sum);
    Target.Evidence.age(Aging);
    Period += Sum;
    Recent += Target.Evidence.recent();
  }
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    target_record &Target = Targets[Index];
    const peer_shares Peers =
        peersOf(Target, PeriodByTarget[Index], Period, Recent);
    Target.Evidence.score(Detection, Samples[Index], Peers);
    if (Target.State == verdict_state::Trial)
      Target.GoodTrialRequests += PeriodByTarget[Index].Requests -
                                  PeriodByTarget[Index].Failures -
                                  PeriodByTarget[Index].Slow;
  }
}

samples_by_data_center service_health::samplesOf(
    target_record &Target, double Seconds,
    const std::map<data_center_name, double> &RequestsPerSecond) const {
  samples_by_data_center Samples = Target.Evidence.takePending();
  if (!Target.isServing())
    return Samples;
  for (const auto &Entry : RequestsPerSecond) {
    const data_center_name &From = Entry.first;
    const double Rate = Entry.second;
    const auto TargetsInUse = std::ranges::count_if(
        Targets, [&](const auto &Each) { return Each.isServingFrom(From); });
    if (TargetsInUse == 0 || !Target.isServingFrom(From))
      continue;
    request_sample &Sample = Samples[From];
    Sample.Requests = std::max(
        Rate * Seconds / static_cast<double>(TargetsInUse), Sample.Requests);
  }
  return Samples;
}

peer_shares service_health::peersOf(const target_record &Target,
                                    const request_sample &OwnPeriod,
                                    const request_sample &Period,
                                    const request_sample &Recent) const {
  request_sample PeriodPeers = Period;
  PeriodPeers -= OwnPeriod;
  request_sample RecentPeers = Recent;
  RecentPeers -= Target.Evidence.recent();
  return {.Failures =
              std::max(shareOf(PeriodPeers.Failures, PeriodPeers.Requests,
                               Detection.Failures.Healthy),
                       shareOf(RecentPeers.Failures, RecentPeers.Requests,
                               Detection.Failures.Healthy)),
          .Slow = std::max(shareOf(PeriodPeers.Slow, PeriodPeers.Requests,
                                   Detection.Slow.Healthy),
                           shareOf(RecentPeers.Slow, RecentPeers.Requests,
                                   Detection.Slow.Healthy))};
}

target_record *service_health::find(target_id Id) {
  const auto Found = std::ranges::find(Targets, Id, &target_record::Id);
  return Found == Targets.end() ? nullptr : &*Found;
}

health_decisions service_health::takeDecisions() {
  std::vector<target_verdict> Current;
  for (const target_record &Target : Targets) {
    target_verdict Verdict{.Target = Target.Name,
                           .State = Target.State,
                           .Relapses = Target.Relapses};
    for (const auto &[DataCenter, Until] : Target.AvoidedUntil)
      Verdict.AvoidedIn.push_back(DataCenter);
    if (Verdict != target_verdict{.Target = Target.Name})
      Current.push_back(std::move(Verdict));
  }
  if (Current != Verdicts.Targets) {
    Verdicts.Targets = std::move(Current);
    ++Verdicts.Version.Number;
  }
  return std::exchange(Decisions, {});
}

} // namespace peridot
