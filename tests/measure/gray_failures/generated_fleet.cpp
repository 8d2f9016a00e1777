#include "measure/gray_failures/generated_fleet.h"

#include "protocol/health_messages/health_codec.h"
#include "protocol/peer_frames/frame_codec.h"

namespace peridot::measure {

namespace {

constexpr double BaselineFailProbability = 0.005;
constexpr double MedianLatencyMs = 25;
constexpr double LatencySigma = 0.5;
constexpr double SlowFactor = 10;
constexpr double RepeatableFraction = 0.7;
/// One request in this many, on average, may be a trial if it is repeatable.
constexpr unsigned TrialInterval = 32;

target_name nameOfTarget(unsigned Index) {
  return target_name("target-" + std::to_string(Index));
}

duration latencyFrom(std::mt19937 &Random, bool Slow) {
  std::lognormal_distribution<> Factor(0, LatencySigma);
  const double Milliseconds =
      MedianLatencyMs * Factor(Random) * (Slow ? SlowFactor : 1);
  return std::chrono::nanoseconds(
      static_cast<std::int64_t>(Milliseconds * 1e6));
}

} // namespace

bool naive_detector::observe(bool Failed, instant Now) {
  FailuresInARow = Failed ? FailuresInARow + 1 : 0;
  if (FailuresInARow < ConsecutiveFailures)
    return false;
  FailuresInARow = 0;
  EjectedUntil = Now + EjectionTime;
  return true;
}

generated_fleet::generated_fleet(fleet_size FleetSize,
                                 service_health_options Options, unsigned Seed)
    : Size(std::move(FleetSize)), Owner(Options), Histories(Size.Targets),
      Random(Seed) {
  Service.Name = service_name("service");
  for (unsigned Index = 0; Index < Size.Targets; ++Index) {
    Service.Targets.push_back({.Name = nameOfTarget(Index)});
    Verdicts.push_back({.Target = nameOfTarget(Index)});
  }
  for (unsigned Index = 0; Index < Size.Vms; ++Index)
    Vms.push_back(
        {.DataCenter =
             data_center_name(std::to_string(Index % Size.DataCenters)),
         .NaiveDetectors = std::vector<naive_detector>(Size.Targets)});
  Owner.configure(Service, Now);
}

void generated_fleet::run(duration Time, const fault_profile &Profile) {
  const instant FaultStart = Now;
  while (Now < FaultStart + Time)
    step(Profile, FaultStart);
}

void generated_fleet::step(const fault_profile &Profile, instant FaultStart) {
  const bool IsFaultActive = Profile.FlapPeriod == duration{0} ||
                             (Now - FaultStart) / Profile.FlapPeriod % 2 == 0;
  Now += Step;
  for (unsigned Index = 0; Index < Size.Vms; ++Index)
    sendRequests(Index, Profile, IsFaultActive);
  for (unsigned Index = 0; Index < Size.Vms; ++Index)
    for (service_report &Report : Vms[Index].Collector.takeReports(Now))
      recordDecisions(Owner.handle(
          report_received{.Observer = vm_name(std::to_string(Index)),
                          .DataCenter = Vms[Index].DataCenter,
                          .Report = std::move(Report)},
          Now));
  recordDecisions(Owner.handle(time_passed{}, Now));
  for (unsigned Index = 0; Index < Size.Targets; ++Index)
    Verdicts[Index] = {.Target = Service.Targets[Index].Name};
  for (const target_verdict &Verdict : Owner.verdicts().Targets)
    for (target_verdict &Current : Verdicts)
      if (Current.Target == Verdict.Target)
        Current = Verdict;
}

std::optional<unsigned>
generated_fleet::chooseTarget(const data_center_name &From) {
  std::vector<unsigned> Serving;
  const bool IsTrialTurn =
      Random() % TrialInterval == 0 && uniform() < RepeatableFraction;
  for (unsigned Index = 0; Index < Size.Targets; ++Index) {
    const target_condition Condition = conditionUnder(Verdicts[Index], From);
    if (IsTrialTurn && Condition == target_condition::Trial)
      return Index;
    if (Condition == target_condition::Serving)
      Serving.push_back(Index);
  }
  if (Serving.empty())
    return std::nullopt;
  return Serving[Random() % Serving.size()];
}

void generated_fleet::sendRequests(unsigned Vm, const fault_profile &Profile,
                                   bool IsFaultActive) {
  const double Mean = Size.RequestsPerTarget * Size.Targets / Size.Vms *
                      std::chrono::duration<double>(Step).count();
  const auto Count = std::poisson_distribution<unsigned>(Mean)(Random);
  std::vector<attempt_observation> Observations;
  for (unsigned Request = 0; Request < Count; ++Request) {
    if (const auto Target = chooseTarget(Vms[Vm].DataCenter)) {
      Observations.push_back(attempt(Vm, *Target, Profile, IsFaultActive));
      Histories[*Target].FailedRequests +=
          Observations.back().End != attempt_end::Responded ? 1 : 0;
    }
    // For the naive detector, requests whose random target is ejected are left
    // out.
    const auto NaiveTarget = static_cast<unsigned>(Random() % Size.Targets);
    if (!Vms[Vm].NaiveDetectors[NaiveTarget].isEjected(Now))
      recordNaive(Vm, NaiveTarget,
                  attempt(Vm, NaiveTarget, Profile, IsFaultActive).End !=
                      attempt_end::Responded);
  }
  Vms[Vm].Collector.observe(Observations, Now, [this](const target_name &Name) {
    return std::ranges::any_of(Verdicts, [&](const target_verdict &Each) {
      return Each.Target == Name && Each.State == verdict_state::Trial;
    });
  });
}

attempt_observation generated_fleet::attempt(unsigned Vm, unsigned Target,
                                             const fault_profile &Profile,
                                             bool IsFaultActive) {
  const bool IsAffected = IsFaultActive &&
                          (Target == 0 || Profile.AffectsAllTargets) &&
                          (!Profile.AffectsOneDataCenter ||
                           Vms[Vm].DataCenter == Vms[0].DataCenter);
  const bool Failed =
      uniform() <
      (IsAffected ? std::max(Profile.FailProbability, BaselineFailProbability)
                  : BaselineFailProbability);
  const bool Slow = IsAffected && uniform() < Profile.SlowProbability;
  return {.Service = Service.Name,
          .Target = Service.Targets[Target].Name,
          .End = Failed ? attempt_end::RespondedError : attempt_end::Responded,
          .Latency = latencyFrom(Random, Slow)};
}

void generated_fleet::recordNaive(unsigned Vm, unsigned Target, bool Failed) {
  target_history &History = Histories[Target];
  History.NaiveFailedRequests += Failed ? 1 : 0;
  if (!Vms[Vm].NaiveDetectors[Target].observe(Failed, Now))
    return;
  History.NaiveEjections.push_back(Now);
  History.NaiveEjectingVms.insert(Vm);
  if (!History.NaiveHalfAt && History.NaiveEjectingVms.size() * 2 >= Size.Vms)
    History.NaiveHalfAt = Now;
}

void generated_fleet::recordDecisions(const health_decisions &Decisions) {
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
    std::vector<attempt_observation> Observations;
    for (unsigned Left = Arrivals(Random); Left > 0; --Left)
      Observations.push_back(
          {.Service =
               service_name("service-" + std::to_string(Random() % Services)),
           .Target = nameOfTarget(
               static_cast<unsigned>(Random() % TargetsPerService)),
           .End = Uniform(Random) < BaselineFailProbability
                      ? attempt_end::RespondedError
                      : attempt_end::Responded,
           .Latency = latencyFrom(Random, false)});
    Collector.observe(Observations, Now,
                      [](const target_name &) { return false; });
    for (const service_report &Report : Collector.takeReports(Now))
      Bytes += encodeHealthMessage(Report).size() + FrameOverheadBytes;
  }
  return static_cast<double>(Bytes) /
         std::chrono::duration<double>(Time).count();
}

} // namespace peridot::measure
