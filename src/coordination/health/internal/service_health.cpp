#include "coordination/health/service_health.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

/// Time after which a request counts half in the recent shares.
constexpr double RecentHalfLifeSeconds = 3;
/// Usual requests that are mixed into a share over few requests.
constexpr double PriorRequests = 10;
constexpr double LongestPeriodSeconds = 5;

double shareOf(double Bad, double Requests, double Usual) {
  return (std::max(Bad, 0.0) + Usual * PriorRequests) /
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
  return finish();
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
  return finish();
}

void service_health::beginTerm(epoch Epoch, verdict_version Held) {
  const std::uint64_t Number = Held.Epoch == Epoch ? Held.Number : 0;
  Verdicts.Version = {.Epoch = Epoch, .Number = Number + 1};
}

health_decisions service_health::handle(const health_event &Event,
                                        instant Now) {
  std::visit([&](const auto &Each) { on(Each, Now); }, Event);
  return finish();
}

void service_health::on(const report_received &Event, instant Now) {
  Rates.record(Event.Observer, Event.DataCenter, Event.Report, Now);
  for (const target_counts &Counts : Event.Report.Targets)
    if (target_record *Target = find(Counts.Target))
      Target->Evidence.note(Event.DataCenter, Counts);
}

void service_health::on(const drain_noticed &Event, instant Now) {
  target_record *Target = find(Event.Target);
  if (!Target)
    return;
  const bool IsNews = Target->State != verdict_state::Draining;
  Target->enter(verdict_state::Draining, Now);
  if (IsNews)
    decide(target_draining{Target->Name});
  restoreFloor(Now);
}

void service_health::on(const time_passed & /*Event*/, instant Now) {
  Rates.expire(Now);
  if (ScoredAt)
    scorePeriod(std::min(std::chrono::duration<double>(Now - *ScoredAt).count(),
                         LongestPeriodSeconds));
  ScoredAt = Now;
  for (target_record &Target : Targets)
    judge(Target, Now);
  restoreFloor(Now);
}

void service_health::scorePeriod(double Seconds) {
  const auto PerSecond = Rates.byDataCenter();
  const double Aging = std::exp2(-Seconds / RecentHalfLifeSeconds);
  std::vector<samples_by_data_center> Samples;
  std::vector<request_sample> OfTargets;
  request_sample Period;
  request_sample Recent;
  for (target_record &Target : Targets) {
    Samples.push_back(samplesOf(Target, Seconds, PerSecond));
    request_sample Sum;
    for (const auto &[From, Sample] : Samples.back())
      Sum += Sample;
    OfTargets.push_back(Sum);
    Target.Evidence.age(Aging);
    Period += Sum;
    Recent += Target.Evidence.recent();
  }
  for (std::size_t Index = 0; Index < Targets.size(); ++Index) {
    target_record &Target = Targets[Index];
    const peer_shares Peers = peersOf(Target, OfTargets[Index], Period, Recent);
    Target.Evidence.score(Detection, Samples[Index], Peers);
    if (Target.State == verdict_state::Trial)
      Target.TrialGood += OfTargets[Index].Requests -
                          OfTargets[Index].Failures - OfTargets[Index].Slow;
  }
}

samples_by_data_center service_health::samplesOf(
    target_record &Target, double Seconds,
    const std::map<data_center_name, double> &PerSecond) const {
  samples_by_data_center Samples = Target.Evidence.takeNoted();
  if (!Target.isServing())
    return Samples;
  for (const auto &Entry : PerSecond) {
    const data_center_name &From = Entry.first;
    const double Rate = Entry.second;
    const auto Sharing = std::ranges::count_if(
        Targets, [&](const auto &Each) { return Each.isServingFrom(From); });
    if (Sharing == 0 || !Target.isServingFrom(From))
      continue;
    request_sample &Sample = Samples[From];
    Sample.Requests = std::max(Rate * Seconds / static_cast<double>(Sharing),
                               Sample.Requests);
  }
  return Samples;
}

peer_shares service_health::peersOf(const target_record &Target,
                                    const request_sample &OfTarget,
                                    const request_sample &Period,
                                    const request_sample &Recent) const {
  request_sample Now = Period;
  Now -= OfTarget;
  request_sample Lately = Recent;
  Lately -= Target.Evidence.recent();
  return {.Failures = std::max(
              shareOf(Now.Failures, Now.Requests, Detection.Failures.Healthy),
              shareOf(Lately.Failures, Lately.Requests,
                      Detection.Failures.Healthy)),
          .Slow = std::max(
              shareOf(Now.Slow, Now.Requests, Detection.Slow.Healthy),
              shareOf(Lately.Slow, Lately.Requests, Detection.Slow.Healthy))};
}

target_record *service_health::find(target_id Id) {
  const auto Found = std::ranges::find(Targets, Id, &target_record::Id);
  return Found == Targets.end() ? nullptr : &*Found;
}

health_decisions service_health::finish() {
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
