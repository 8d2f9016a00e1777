#include "measure/gray_failures/generated_fleet.h"

#include "protocol/health_messages/health_codec.h"
#include "protocol/peer_frames/frame_codec.h"

namespace peridot::measure {

namespace {

constexpr double UsualFailShare = 0.005;
constexpr double MedianMilliseconds = 25;
constexpr double LatencySigma = 0.5;
constexpr double SlowFactor = 10;
constexpr double RepeatableShare = 0.7;
constexpr unsigned TrialInterval = 32;

target_name nameOfTarget(unsigned Index) {
  return target_name("target-" + std::to_string(Index));
}

duration latencyFrom(std::mt19937 &Random, bool Slow) {
  std::lognormal_distribution<> Spread(0, LatencySigma);
  const double Milliseconds =
      MedianMilliseconds * Spread(Random) * (Slow ? SlowFactor : 1);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(Milliseconds * 1e6));
}

} // namespace

bool naive_detector::observe(bool Failed, instant Now) {
  InARow = Failed ? InARow + 1 : 0;
  if (InARow < ConsecutiveFailures)
    return false;
  InARow = 0;
  EjectedUntil = Now + EjectionTime;
  return true;
}

generated_fleet::generated_fleet(fleet_size Chosen,
                                 service_health_options Options, unsigned Seed)
    : Size(std::move(Chosen)), Owner(Options), Histories(Size.Targets),
      Random(Seed) {
  Service.Name = service_name("service");
  for (unsigned Index = 0; Index < Size.Targets; ++Index) {
    Service.Targets.push_back({.Name = nameOfTarget(Index)});
    Verdicts.push_back({.Target = nameOfTarget(Index)});
  }
  for (unsigned Index = 0; Index < Size.Vms; ++Index)
    Vms.push_back({.DataCenter = data_center_name(
                       std::to_string(Index % Size.DataCenters)),
                   .Naive = std::vector<naive_detector>(Size.Targets)});
  Owner.configure(Service, Now);
}

void generated_fleet::run(duration Time, const illness &Illness) {
  const instant IllSince = Now;
  while (Now < IllSince + Time)
    step(Illness, IllSince);
}

void generated_fleet::step(const illness &Illness, instant IllSince) {
  const bool IllNow = Illness.FlapPeriod == duration{0} ||
                      (Now - IllSince) / Illness.FlapPeriod % 2 == 0;
  Now += Step;
  for (unsigned Index = 0; Index < Size.Vms; ++Index)
    sendRequests(Index, Illness, IllNow);
  for (unsigned Index = 0; Index < Size.Vms; ++Index)
    for (service_report &Report : Vms[Index].Collector.takeReports(Now))
      record(Owner.handle(
          report_received{.Observer = vm_name(std::to_string(Index)),
                          .DataCenter = Vms[Index].DataCenter,
                          .Report = std::move(Report)},
          Now));
  record(Owner.handle(time_passed{}, Now));
  for (unsigned Index = 0; Index < Size.Targets; ++Index)
    Verdicts[Index] = {.Target = Service.Targets[Index].Name};
  for (const target_verdict &Verdict : Owner.verdicts().Targets)
    for (target_verdict &Known : Verdicts)
      if (Known.Target == Verdict.Target)
        Known = Verdict;
}

std::optional<unsigned> generated_fleet::choose(const data_center_name &From) {
  std::vector<unsigned> Serving;
  const bool TrialTurn =
      Random() % TrialInterval == 0 && uniform() < RepeatableShare;
  for (unsigned Index = 0; Index < Size.Targets; ++Index) {
    const target_condition Condition = conditionUnder(Verdicts[Index], From);
    if (TrialTurn && Condition == target_condition::Trial)
      return Index;
    if (Condition == target_condition::Serving)
      Serving.push_back(Index);
  }
  if (Serving.empty())
    return std::nullopt;
  return Serving[Random() % Serving.size()];
}

void generated_fleet::sendRequests(unsigned Vm, const illness &Illness,
                                   bool IllNow) {
  const double Mean = Size.RequestsPerTarget * Size.Targets / Size.Vms *
                      std::chrono::duration<double>(Step).count();
  const auto Count = std::poisson_distribution<unsigned>(Mean)(Random);
  std::vector<attempt_observation> Seen;
  for (unsigned Request = 0; Request < Count; ++Request) {
    if (const auto Target = choose(Vms[Vm].DataCenter)) {
      Seen.push_back(attempt(Vm, *Target, Illness, IllNow));
      Histories[*Target].BadRequests +=
          Seen.back().End != attempt_end::Answered ? 1 : 0;
    }
    // The naive detector balances over the targets that it has not ejected.
    const auto Naive = static_cast<unsigned>(Random() % Size.Targets);
    if (!Vms[Vm].Naive[Naive].isEjected(Now))
      recordNaive(Vm, Naive,
                  attempt(Vm, Naive, Illness, IllNow).End !=
                      attempt_end::Answered);
  }
  Vms[Vm].Collector.observe(Seen, Now, [this](const target_name &Name) {
    return std::ranges::any_of(Verdicts, [&](const target_verdict &Each) {
      return Each.Target == Name && Each.State == verdict_state::Trial;
    });
  });
}

attempt_observation generated_fleet::attempt(unsigned Vm, unsigned Target,
                                             const illness &Illness,
                                             bool IllNow) {
  const bool Ill =
      IllNow && (Target == 0 || Illness.AllTargets) &&
      (!Illness.OneDataCenter || Vms[Vm].DataCenter == Vms[0].DataCenter);
  const bool Failed =
      uniform() <
      (Ill ? std::max(Illness.FailShare, UsualFailShare) : UsualFailShare);
  const bool Slow = Ill && uniform() < Illness.SlowShare;
  return {.Service = Service.Name,
          .Target = Service.Targets[Target].Name,
          .End = Failed ? attempt_end::AnsweredError : attempt_end::Answered,
          .Latency = latencyFrom(Random, Slow)};
}

void generated_fleet::recordNaive(unsigned Vm, unsigned Target, bool Failed) {
  target_history &History = Histories[Target];
  History.NaiveBadRequests += Failed ? 1 : 0;
  if (!Vms[Vm].Naive[Target].observe(Failed, Now))
    return;
  History.NaiveEjections.push_back(Now);
  History.NaiveVms.insert(Vm);
  if (!History.NaiveHalf && History.NaiveVms.size() * 2 >= Size.Vms)
    History.NaiveHalf = Now;
}

void generated_fleet::record(const health_decisions &Decisions) {
  for (const health_decision &Decision : Decisions)
    for (unsigned Index = 0; Index < Size.Targets; ++Index) {
      const target_name &Name = Service.Targets[Index].Name;
      if (const auto *Ejected = std::get_if<target_ejected>(&Decision))
        if (Ejected->Target == Name)
          Histories[Index].Ejections.push_back(Now);
      if (const auto *Avoided = std::get_if<link_avoided>(&Decision))
        if (Avoided->Target == Name)
          Histories[Index].Avoidances.push_back(Now);
    }
}

double reportBytesPerSecond(const collector_options &Options, unsigned Services,
                            unsigned Seed) {
  constexpr double RequestsPerSecond = 280;
  constexpr unsigned TargetsPerService = 25;
  constexpr std::chrono::minutes Time{20};
  constexpr std::chrono::milliseconds Period{500};
  std::mt19937 Random(Seed);
  std::uniform_real_distribution<> Uniform;
  evidence_collector Collector(Options);
  instant Now = instant{} + std::chrono::hours(1);
  const instant End = Now + Time;
  std::size_t Bytes = 0;
  std::poisson_distribution<unsigned> Arrivals(RequestsPerSecond / 2);
  while (Now < End) {
    Now += Period;
    std::vector<attempt_observation> Seen;
    for (unsigned Left = Arrivals(Random); Left > 0; --Left)
      Seen.push_back(
          {.Service =
               service_name("service-" + std::to_string(Random() % Services)),
           .Target = nameOfTarget(
               static_cast<unsigned>(Random() % TargetsPerService)),
           .End = Uniform(Random) < UsualFailShare ? attempt_end::AnsweredError
                                                   : attempt_end::Answered,
           .Latency = latencyFrom(Random, false)});
    Collector.observe(Seen, Now, [](const target_name &) { return false; });
    for (const service_report &Report : Collector.takeReports(Now))
      Bytes += encodeHealthMessage(Report).size() + FrameOverhead;
  }
  return static_cast<double>(Bytes) /
         std::chrono::duration<double>(Time).count();
}

} // namespace peridot::measure
