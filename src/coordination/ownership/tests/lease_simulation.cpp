#include "lease_simulation.h"

#include <algorithm>
#include <set>
#include <utility>

#include "state/base/types/overloaded.h"

namespace peridot::test {

namespace {

using namespace std::chrono_literals;

constexpr duration TickPeriod = 500ms;
constexpr duration MaxMessageDelay = 50ms;
constexpr duration MaxSlowDelay = 10s;
constexpr duration PlatformTimeout = 2s;
constexpr duration MaxListLag = 5s;

} // namespace

lease_simulation::lease_simulation(simulation_options Chosen)
    : Options(Chosen), Random(Chosen.RandomSeed), Vms(Chosen.VmCount),
      PlatformCutCounts(Chosen.VmCount), IsolationCounts(Chosen.VmCount) {
  std::uniform_real_distribution<double> Rate(1 - Options.MaxDrift,
                                              1 + Options.MaxDrift);
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    Vms[Vm].Id.Vm = vm_name("vm-" + std::to_string(Vm));
    Vms[Vm].ClockRate = Rate(Random);
    Vms[Vm].ClockStart = 1h + randomDuration(1h);
    start(Vm);
    after(randomDuration(TickPeriod), [this, Vm] { tick(Vm); });
  }
  recordList();
}

void lease_simulation::after(duration Delay, std::function<void()> Run) {
  Actions.push({Now + Delay, ++Order, std::move(Run)});
}

bool lease_simulation::occursWithProbability(double Probability) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Probability;
}

duration lease_simulation::randomDuration(duration Max) {
  return duration(
      std::uniform_int_distribution<duration::rep>(0, Max.count())(Random));
}

duration lease_simulation::messageDelay() {
  return randomDuration(occursWithProbability(Options.SlowProbability)
                            ? MaxSlowDelay
                            : MaxMessageDelay);
}

instant lease_simulation::clockOf(const simulated_vm &Vm) const {
  return instant(Vm.ClockStart +
                 duration(static_cast<duration::rep>(
                     static_cast<double>(Now.count()) * Vm.ClockRate)));
}

void lease_simulation::start(std::size_t Vm) {
  simulated_vm &Started = Vms[Vm];
  Started.Id.Incarnation = {++LastIncarnation};
  Started.IsPaused = false;
  Started.DeferredEvents.clear();
  Started.Machine = std::make_unique<ownership_machine>(ownership_options{
      .Self = Started.Id, .Lease = {}, .Seed = LastIncarnation});
}

void lease_simulation::stop(std::size_t Vm) {
  Vms[Vm].Machine.reset();
  Vms[Vm].DeferredEvents.clear();
}

void lease_simulation::recordList() {
  std::vector<member> List;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    if (Vms[Vm].IsListed && FalselyDropped != Vm)
      List.push_back({.Vm = Vms[Vm].Id.Vm,
                      .DataCenter = data_center_name(
                          std::string(1, static_cast<char>('a' + Vm % 3)))});
  Lists.emplace_back(Now, std::move(List));
}

void lease_simulation::tick(std::size_t Vm) {
  after(TickPeriod, [this, Vm] { tick(Vm); });
  simulated_vm &Ticking = Vms[Vm];
  if (!Ticking.Machine || Ticking.IsPaused)
    return;
  if (isPlatformReachable(Vm)) {
    const duration SeenAt =
        std::max(duration{}, Now - randomDuration(MaxListLag));
    const auto Seen =
        std::ranges::find_if(Lists.rbegin(), Lists.rend(),
                             [&](const auto &L) { return L.first <= SeenAt; });
    std::vector<member> Members = Seen->second;
    for (member &Member : Members)
      Member.Suspected = occursWithProbability(0.02);
    deliver(Vm, Ticking.Id, member_list_updated{Members});
  }
  deliver(Vm, Ticking.Id, lease_tick{});
}

void lease_simulation::deliver(std::size_t Vm, const vm_incarnation &Id,
                               ownership_event Event) {
  simulated_vm &Receiver = Vms[Vm];
  if (!Receiver.Machine || Receiver.Id != Id)
    return;
  if (Receiver.IsPaused) {
    Receiver.DeferredEvents.emplace_back(
        [this, Vm, Id, Event = std::move(Event)] { deliver(Vm, Id, Event); });
    return;
  }
  for (const ownership_effect &Effect :
       Receiver.Machine->handle(Event, clockOf(Receiver)))
    perform(Vm, Effect);
}

void lease_simulation::perform(std::size_t Vm, const ownership_effect &Effect) {
  std::visit(
      overloaded{[&](const send_lease_message &E) { sendMessage(Vm, E); },
                 [&](const read_shard_map &) { readMap(Vm); },
                 [&](const write_shard_map &E) { writeMap(Vm, E); },
                 [](const auto &) {}},
      Effect);
}

void lease_simulation::sendMessage(std::size_t From,
                                   const send_lease_message &Message) {
  const auto Found = std::ranges::find_if(Vms, [&](const simulated_vm &Each) {
    return Each.Id.Vm == Message.Peer;
  });
  const auto To = static_cast<std::size_t>(Found - Vms.begin());
  const auto Link = CutLinkCounts.find({From, To});
  const bool IsCut = IsolationCounts[From] > 0 || IsolationCounts[To] > 0 ||
                     (Link != CutLinkCounts.end() && Link->second > 0);
  if (IsCut || occursWithProbability(Options.LossProbability))
    return;
  const int Copies =
      occursWithProbability(Options.DuplicateProbability) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(messageDelay(),
          [this, To, Sender = Vms[From].Id, Body = Message.Message] {
            deliver(To, Vms[To].Id, lease_message_received{Sender, Body});
          });
}

bool lease_simulation::isPlatformReachable(std::size_t Vm) const {
  return PlatformDownCount == 0 && PlatformCutCounts[Vm] == 0;
}

void lease_simulation::readMap(std::size_t Vm) {
  if (!isPlatformReachable(Vm))
    return;
  after(randomDuration(MaxMessageDelay), [this, Vm, Id = Vms[Vm].Id] {
    after(randomDuration(MaxMessageDelay),
          [this, Vm, Id, Read = shard_map_read{StoredVersion, StoredMap}] {
            deliver(Vm, Id, Read);
          });
  });
}

void lease_simulation::writeMap(std::size_t Vm, const write_shard_map &Write) {
  const vm_incarnation Id = Vms[Vm].Id;
  const bool IsLate = occursWithProbability(Options.SlowProbability);
  const bool IsLost = !isPlatformReachable(Vm);
  if (IsLost || IsLate)
    after(PlatformTimeout, [this, Vm, Id] {
      deliver(Vm, Id, shard_map_write_ended{write_outcome::Unknown, 0});
    });
  if (IsLost)
    return;
  after(randomDuration(IsLate ? MaxSlowDelay : MaxMessageDelay),
        [this, Vm, Id, IsLate, Write] {
          shard_map_write_ended Ended{write_outcome::Conflict, 0};
          if (Write.ExpectedVersion == StoredVersion) {
            StoredMap = Write.Map;
            Ended = {write_outcome::Written, ++StoredVersion};
          }
          if (IsLate)
            return;
          if (LostResponsesCount > 0)
            after(PlatformTimeout, [this, Vm, Id] {
              deliver(Vm, Id, shard_map_write_ended{write_outcome::Unknown, 0});
            });
          else
            after(randomDuration(MaxMessageDelay),
                  [this, Vm, Id, Ended] { deliver(Vm, Id, Ended); });
        });
}

void lease_simulation::add(const simulated_fault &Fault) {
  Actions.push({Fault.At, ++Order, [this, Fault] { begin(Fault); }});
  Actions.push(
      {Fault.At + Fault.Length, ++Order, [this, Fault] { end(Fault); }});
}

void lease_simulation::begin(const simulated_fault &Fault) {
  simulated_vm &Vm = Vms[Fault.Vm];
  switch (Fault.Kind) {
  case fault_kind::Pause:
    Vm.IsPaused = true;
    return;
  case fault_kind::Restart:
    stop(Fault.Vm);
    return;
  case fault_kind::Remove:
    stop(Fault.Vm);
    Vm.IsListed = false;
    recordList();
    return;
  case fault_kind::Leave:
    if (Vm.Machine)
      deliver(Fault.Vm, Vm.Id, leave_started{});
    return;
  case fault_kind::PlatformDown:
    ++PlatformDownCount;
    return;
  case fault_kind::LoseResponses:
    ++LostResponsesCount;
    return;
  case fault_kind::CutPlatform:
    ++PlatformCutCounts[Fault.Vm];
    return;
  case fault_kind::CutOneWay:
    ++CutLinkCounts[{Fault.Vm, Fault.Other}];
    return;
  case fault_kind::Isolate:
    ++IsolationCounts[Fault.Vm];
    return;
  case fault_kind::FalseDrop:
    if (!FalselyDropped) {
      FalselyDropped = Fault.Vm;
      recordList();
    }
    return;
  }
}

void lease_simulation::end(const simulated_fault &Fault) {
  simulated_vm &Vm = Vms[Fault.Vm];
  switch (Fault.Kind) {
  case fault_kind::Pause:
    Vm.IsPaused = false;
    for (const auto &Run : std::exchange(Vm.DeferredEvents, {}))
      Run();
    return;
  case fault_kind::Restart:
  case fault_kind::Remove:
  case fault_kind::Leave:
    stop(Fault.Vm);
    start(Fault.Vm);
    Vm.IsListed = true;
    recordList();
    return;
  case fault_kind::PlatformDown:
    --PlatformDownCount;
    return;
  case fault_kind::LoseResponses:
    --LostResponsesCount;
    return;
  case fault_kind::CutPlatform:
    --PlatformCutCounts[Fault.Vm];
    return;
  case fault_kind::CutOneWay:
    --CutLinkCounts[{Fault.Vm, Fault.Other}];
    return;
  case fault_kind::Isolate:
    --IsolationCounts[Fault.Vm];
    return;
  case fault_kind::FalseDrop:
    if (FalselyDropped == Fault.Vm) {
      FalselyDropped.reset();
      recordList();
    }
    return;
  }
}

void lease_simulation::run() {
  while (!ShardWithTwoOwners && !Actions.empty() &&
         Actions.top().At <= Options.Length) {
    const action Next = Actions.top();
    Actions.pop();
    // The time is set before the action runs: leases have lasted longest just
    // before it, and new owners may start to act just after it.
    Now = Next.At;
    Next.Run();
    checkOwners();
  }
}

void lease_simulation::checkOwners() {
  std::set<shard_number> Acting;
  for (const simulated_vm &Vm : Vms) {
    if (!Vm.Machine)
      continue;
    const instant Clock = clockOf(Vm);
    for (const auto &[Shard, Until] : Vm.Machine->actingUntil(Clock))
      if (Clock < Until && !Acting.insert(Shard).second)
        ShardWithTwoOwners = Shard;
  }
}

std::size_t lease_simulation::actingShards(std::size_t Vm) const {
  if (!Vms[Vm].Machine)
    return 0;
  const instant Clock = clockOf(Vms[Vm]);
  const auto Acting = Vms[Vm].Machine->actingUntil(Clock);
  return static_cast<std::size_t>(std::ranges::count_if(
      Acting, [&](const auto &Entry) { return Clock < Entry.second; }));
}

std::size_t lease_simulation::actingShards() const {
  std::size_t Total = 0;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    Total += actingShards(Vm);
  return Total;
}

} // namespace peridot::test
