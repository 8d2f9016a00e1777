#include "coordination/load_balancing/tests/shared_targets_fixture.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

constexpr unsigned Slots = 3;
constexpr std::size_t MaxWaiting = 12;
constexpr double MeanWorkSeconds = 0.16;
constexpr double WorkSpread = 0.5; ///< Of the logarithm.
constexpr double SlowFactor = 4;
constexpr duration PeerDelay = std::chrono::milliseconds(100);
constexpr duration WarmUp = std::chrono::seconds(2);
constexpr duration Length = std::chrono::seconds(8);

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void shared_targets_fixture::setUp(const shared_targets_run &Chosen) {
  Run = Chosen;
  Random.seed(20261206);
  Now = instant(std::chrono::seconds(100));
  Events.clear();
  Targets.clear();
  IndexOf.clear();
  Stopped.clear();
  Names.clear();
  for (std::size_t Each = 0; Each < Run.Targets; ++Each)
    Targets.push_back({.Name = target_name("i-" + std::to_string(Each)),
                       .DataCenter = data_center_name("lakes-a"),
                       .Slots = Slots});
  for (std::size_t Each = 0; Each < Run.Targets; ++Each)
    IndexOf[&Targets[Each]] = Each;
  States = std::vector<simulated_target>(Run.Targets);
  Balancers = std::vector<load_balancer>(Run.Vms);
  for (std::size_t Each = 0; Each < Run.Vms; ++Each)
    Names.emplace_back("vm-" + std::to_string(Each));
  divide();
}

void shared_targets_fixture::divide() {
  std::vector<vm_name> Hosts;
  for (std::size_t Each = 0; Each < Run.Vms; ++Each)
    if (!Stopped.contains(Each))
      Hosts.push_back(Names[Each]);
  const std::span<const target> Services[] = {Targets};
  for (std::size_t Each = 0; Each < Run.Vms; ++Each)
    Balancers[Each].divide(Services, {.DataCenter = data_center_name("lakes-a"),
                                      .Self = Names[Each],
                                      .Hosts = Hosts});
}

void shared_targets_fixture::changeHosts() {
  const std::size_t Next = Stopped.empty() ? 1 : *Stopped.begin() + 1;
  Stopped = {Next % Run.Vms};
  divide();
  schedule(Run.HostChangePeriod, [this] { changeHosts(); });
}

std::size_t shared_targets_fixture::chooseVm() {
  if (uniform() < Run.FirstVmShare)
    return 0;
  const std::size_t Vm = Random() % Run.Vms;
  return Stopped.contains(Vm) ? (Vm + 1) % Run.Vms : Vm;
}

std::size_t shared_targets_fixture::chooseTarget(std::size_t Vm) {
  if (Run.IsRandom)
    return Random() % Run.Targets;
  const target *Chosen = Balancers[Vm]
                             .choose(Targets, {},
                                     {.DataCenter = data_center_name("lakes-a"),
                                      .Now = Now,
                                      .Random = Random()})
                             .Target;
  return IndexOf.at(Chosen);
}

void shared_targets_fixture::arrive() {
  const double PerSecond =
      Run.Load * static_cast<double>(Run.Targets * Slots) / MeanWorkSeconds;
  schedule(fromSeconds(-std::log(1 - uniform()) / PerSecond),
           [this] { arrive(); });
  const std::size_t Vm = chooseVm();
  const std::size_t Target = chooseTarget(Vm);
  simulated_target &State = States[Target];
  const bool IsFull = State.Running >= Slots;
  ++Count;
  ++State.Requests;
  FullCount += IsFull ? 1 : 0;
  SlowCount += Target < Run.SlowTargets ? 1 : 0;
  const std::uint64_t Id = Balancers[Vm].begin(Targets[Target].Name, Now,
                                               fromSeconds(MeanWorkSeconds));
  const waiting_request Request{.Vm = Vm, .Id = Id};
  if (!IsFull)
    return start(Target, Request);
  if (State.Waiting.size() < MaxWaiting)
    return State.Waiting.push_back(Request);
  ++ShedCount;
  Balancers[Vm].noteLoad(Targets[Target].Name,
                         {.Running = Slots,
                          .Waiting = static_cast<unsigned>(MaxWaiting),
                          .Slots = Slots},
                         Now);
  Balancers[Vm].end(Targets[Target].Name, Id, attempt_end::Shed, std::nullopt,
                    Now);
}

void shared_targets_fixture::start(std::size_t Target,
                                   const waiting_request &Request) {
  ++States[Target].Running;
  std::lognormal_distribution<> Work(
      std::log(MeanWorkSeconds) - WorkSpread * WorkSpread / 2, WorkSpread);
  const double Factor = Target < Run.SlowTargets ? SlowFactor : 1;
  schedule(fromSeconds(Work(Random) * Factor),
           [this, Target, Request] { finish(Target, Request); });
}

void shared_targets_fixture::finish(std::size_t Target,
                                    const waiting_request &Request) {
  simulated_target &State = States[Target];
  load_balancer &Balancer = Balancers[Request.Vm];
  Balancer.noteLoad(Targets[Target].Name,
                    {.Running = State.Running,
                     .Waiting = static_cast<unsigned>(State.Waiting.size()),
                     .Slots = Slots},
                    Now);
  Balancer.end(Targets[Target].Name, Request.Id, attempt_end::Responded,
               Target < Run.SlowTargets ? SlowFactor : 1, Now);
  tellPeers(Request.Vm, Target);
  --State.Running;
  if (State.Waiting.empty())
    return;
  const waiting_request Next = State.Waiting.front();
  State.Waiting.pop_front();
  start(Target, Next);
}

void shared_targets_fixture::tellPeers(std::size_t Vm, std::size_t Target) {
  schedule(PeerDelay, [this, Vm, Target] {
    for (std::size_t Each = 0; Each < Run.Vms; ++Each)
      if (Each != Vm)
        Balancers[Each].recordPeerAttempt(Targets[Target].Name,
                                          attempt_end::Responded, Now);
  });
}

shared_targets_result
shared_targets_fixture::play(const shared_targets_run &Chosen) {
  setUp(Chosen);
  arrive();
  if (Run.HostChangePeriod > duration{0})
    schedule(Run.HostChangePeriod, [this] { changeHosts(); });
  schedule(WarmUp, [this] {
    Count = FullCount = ShedCount = SlowCount = 0;
    for (simulated_target &Each : States)
      Each.Requests = 0;
  });
  const instant End = Now + WarmUp + Length;
  while (!Events.empty() && Events.begin()->first < End) {
    auto Event = Events.extract(Events.begin());
    Now = Event.key();
    Event.mapped()();
  }
  const auto Total = static_cast<double>(Count);
  const auto Busiest =
      std::ranges::max(States, {}, &simulated_target::Requests).Requests;
  return {.FullShare = static_cast<double>(FullCount) / Total,
          .ShedShare = static_cast<double>(ShedCount) / Total,
          .SlowShare = static_cast<double>(SlowCount) / Total,
          .BusiestOverMean = static_cast<double>(Busiest) *
                             static_cast<double>(Run.Targets) / Total};
}

} // namespace peridot
