#include "lease_schedule.h"

#include <algorithm>
#include <set>
#include <utility>

#include "state/base/types/overloaded.h"

namespace peridot::test {

namespace {

using namespace std::chrono_literals;

constexpr duration TickPeriod = 500ms;
constexpr duration MessageDelay = 50ms;
constexpr duration SlowDelay = 10s;
constexpr duration PlatformTimeout = 2s;
constexpr duration ListLag = 5s;

} // namespace

lease_schedule::lease_schedule(schedule_options Chosen)
    : Options(Chosen), Random(Chosen.NoiseSeed), Vms(Chosen.VmCount),
      PlatformCut(Chosen.VmCount), Isolated(Chosen.VmCount) {
  std::uniform_real_distribution<double> Rate(1 - Options.Drift,
                                              1 + Options.Drift);
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm) {
    Vms[Vm].Id.Vm = vm_name("vm-" + std::to_string(Vm));
    Vms[Vm].ClockRate = Rate(Random);
    Vms[Vm].ClockStart = 1h + noise(1h);
    start(Vm);
    after(noise(TickPeriod), [this, Vm] { tick(Vm); });
  }
  recordList();
}

void lease_schedule::after(duration Delay, std::function<void()> Run) {
  Actions.push({Now + Delay, ++Order, std::move(Run)});
}

bool lease_schedule::chance(double Share) {
  return std::uniform_real_distribution<double>(0, 1)(Random) < Share;
}

duration lease_schedule::noise(duration Most) {
  return duration(
      std::uniform_int_distribution<duration::rep>(0, Most.count())(Random));
}

duration lease_schedule::messageDelay() {
  return noise(chance(Options.SlowShare) ? SlowDelay : MessageDelay);
}

instant lease_schedule::clockOf(const simulated_vm &Vm) const {
  return instant(Vm.ClockStart +
                 duration(static_cast<duration::rep>(
                     static_cast<double>(Now.count()) * Vm.ClockRate)));
}

void lease_schedule::start(std::size_t Vm) {
  simulated_vm &Started = Vms[Vm];
  Started.Id.Incarnation = {++LastIncarnation};
  Started.Paused = false;
  Started.Held.clear();
  Started.Machine = std::make_unique<ownership_machine>(ownership_options{
      .Self = Started.Id, .Lease = {}, .Seed = LastIncarnation});
}

void lease_schedule::stop(std::size_t Vm) {
  Vms[Vm].Machine.reset();
  Vms[Vm].Held.clear();
}

void lease_schedule::recordList() {
  std::vector<member> List;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    if (Vms[Vm].Listed && FalselyDropped != Vm)
      List.push_back({.Vm = Vms[Vm].Id.Vm,
                      .DataCenter = data_center_name(
                          std::string(1, static_cast<char>('a' + Vm % 3)))});
  Lists.emplace_back(Now, std::move(List));
}

void lease_schedule::tick(std::size_t Vm) {
  after(TickPeriod, [this, Vm] { tick(Vm); });
  simulated_vm &Ticking = Vms[Vm];
  if (!Ticking.Machine || Ticking.Paused)
    return;
  if (platformReachable(Vm)) {
    const duration SeenAt = std::max(duration{}, Now - noise(ListLag));
    const auto Seen =
        std::ranges::find_if(Lists.rbegin(), Lists.rend(),
                             [&](const auto &L) { return L.first <= SeenAt; });
    std::vector<member> Members = Seen->second;
    for (member &Member : Members)
      Member.Suspected = chance(0.02);
    give(Vm, Ticking.Id, fleet_listed{Members});
  }
  give(Vm, Ticking.Id, lease_tick{});
}

void lease_schedule::give(std::size_t Vm, const vm_incarnation &Id,
                          ownership_event Event) {
  simulated_vm &Target = Vms[Vm];
  if (!Target.Machine || Target.Id != Id)
    return;
  if (Target.Paused) {
    Target.Held.emplace_back(
        [this, Vm, Id, Event = std::move(Event)] { give(Vm, Id, Event); });
    return;
  }
  for (const ownership_effect &Effect :
       Target.Machine->handle(Event, clockOf(Target)))
    perform(Vm, Effect);
}

void lease_schedule::perform(std::size_t Vm, const ownership_effect &Effect) {
  std::visit(
      overloaded{[&](const send_lease_message &E) { sendMessage(Vm, E); },
                 [&](const read_shard_map &) { readMap(Vm); },
                 [&](const write_shard_map &E) { writeMap(Vm, E); },
                 [](const auto &) {}},
      Effect);
}

void lease_schedule::sendMessage(std::size_t From,
                                 const send_lease_message &Message) {
  const auto Found = std::ranges::find_if(Vms, [&](const simulated_vm &Each) {
    return Each.Id.Vm == Message.Peer;
  });
  const auto To = static_cast<std::size_t>(Found - Vms.begin());
  const auto Link = Cut.find({From, To});
  const bool IsCut = Isolated[From] > 0 || Isolated[To] > 0 ||
                     (Link != Cut.end() && Link->second > 0);
  if (IsCut || chance(Options.LossShare))
    return;
  const int Copies = chance(Options.DoubleShare) ? 2 : 1;
  for (int Copy = 0; Copy < Copies; ++Copy)
    after(messageDelay(),
          [this, To, Sender = Vms[From].Id, Body = Message.Message] {
            give(To, Vms[To].Id, lease_message_received{Sender, Body});
          });
}

bool lease_schedule::platformReachable(std::size_t Vm) const {
  return PlatformDown == 0 && PlatformCut[Vm] == 0;
}

void lease_schedule::readMap(std::size_t Vm) {
  if (!platformReachable(Vm))
    return;
  after(noise(MessageDelay), [this, Vm, Id = Vms[Vm].Id] {
    after(noise(MessageDelay),
          [this, Vm, Id, Read = shard_map_read{Version, Stored}] {
            give(Vm, Id, Read);
          });
  });
}

void lease_schedule::writeMap(std::size_t Vm, const write_shard_map &Write) {
  const vm_incarnation Id = Vms[Vm].Id;
  const bool IsLate = chance(Options.SlowShare);
  const bool IsLost = !platformReachable(Vm);
  if (IsLost || IsLate)
    after(PlatformTimeout, [this, Vm, Id] {
      give(Vm, Id, shard_map_write_ended{write_outcome::Unknown, 0});
    });
  if (IsLost)
    return;
  after(noise(IsLate ? SlowDelay : MessageDelay),
        [this, Vm, Id, IsLate, Write] {
          shard_map_write_ended Ended{write_outcome::Conflict, 0};
          if (Write.Expected == Version) {
            Stored = Write.Map;
            Ended = {write_outcome::Written, ++Version};
          }
          if (IsLate)
            return;
          if (LosingAnswers > 0)
            after(PlatformTimeout, [this, Vm, Id] {
              give(Vm, Id, shard_map_write_ended{write_outcome::Unknown, 0});
            });
          else
            after(noise(MessageDelay),
                  [this, Vm, Id, Ended] { give(Vm, Id, Ended); });
        });
}

void lease_schedule::add(const schedule_fault &Fault) {
  Actions.push({Fault.At, ++Order, [this, Fault] { begin(Fault); }});
  Actions.push(
      {Fault.At + Fault.Length, ++Order, [this, Fault] { end(Fault); }});
}

void lease_schedule::begin(const schedule_fault &Fault) {
  simulated_vm &Vm = Vms[Fault.Vm];
  switch (Fault.Kind) {
  case fault_kind::Pause:
    Vm.Paused = true;
    return;
  case fault_kind::Restart:
    stop(Fault.Vm);
    return;
  case fault_kind::Remove:
    stop(Fault.Vm);
    Vm.Listed = false;
    recordList();
    return;
  case fault_kind::Leave:
    if (Vm.Machine)
      give(Fault.Vm, Vm.Id, leave_started{});
    return;
  case fault_kind::PlatformDown:
    ++PlatformDown;
    return;
  case fault_kind::LoseAnswers:
    ++LosingAnswers;
    return;
  case fault_kind::CutPlatform:
    ++PlatformCut[Fault.Vm];
    return;
  case fault_kind::CutOneWay:
    ++Cut[{Fault.Vm, Fault.Other}];
    return;
  case fault_kind::Isolate:
    ++Isolated[Fault.Vm];
    return;
  case fault_kind::FalseDrop:
    if (!FalselyDropped) {
      FalselyDropped = Fault.Vm;
      recordList();
    }
    return;
  }
}

void lease_schedule::end(const schedule_fault &Fault) {
  simulated_vm &Vm = Vms[Fault.Vm];
  switch (Fault.Kind) {
  case fault_kind::Pause:
    Vm.Paused = false;
    for (const auto &Run : std::exchange(Vm.Held, {}))
      Run();
    return;
  case fault_kind::Restart:
  case fault_kind::Remove:
  case fault_kind::Leave:
    stop(Fault.Vm);
    start(Fault.Vm);
    Vm.Listed = true;
    recordList();
    return;
  case fault_kind::PlatformDown:
    --PlatformDown;
    return;
  case fault_kind::LoseAnswers:
    --LosingAnswers;
    return;
  case fault_kind::CutPlatform:
    --PlatformCut[Fault.Vm];
    return;
  case fault_kind::CutOneWay:
    --Cut[{Fault.Vm, Fault.Other}];
    return;
  case fault_kind::Isolate:
    --Isolated[Fault.Vm];
    return;
  case fault_kind::FalseDrop:
    if (FalselyDropped == Fault.Vm) {
      FalselyDropped.reset();
      recordList();
    }
    return;
  }
}

void lease_schedule::run() {
  while (!DoubleOwner && !Actions.empty() &&
         Actions.top().At <= Options.Length) {
    const action Next = Actions.top();
    Actions.pop();
    // Just before the action leases have lasted longest, just after it new
    // owners may have begun.
    Now = Next.At;
    Next.Run();
    check();
  }
}

void lease_schedule::check() {
  std::set<shard_number> Acting;
  for (const simulated_vm &Vm : Vms) {
    if (!Vm.Machine)
      continue;
    const instant Clock = clockOf(Vm);
    for (const auto &[Shard, Until] : Vm.Machine->actingUntil(Clock))
      if (Clock < Until && !Acting.insert(Shard).second)
        DoubleOwner = Shard;
  }
}

std::size_t lease_schedule::actingShards(std::size_t Vm) const {
  if (!Vms[Vm].Machine)
    return 0;
  const instant Clock = clockOf(Vms[Vm]);
  const auto Acting = Vms[Vm].Machine->actingUntil(Clock);
  return static_cast<std::size_t>(std::ranges::count_if(
      Acting, [&](const auto &Entry) { return Clock < Entry.second; }));
}

std::size_t lease_schedule::actingShards() const {
  std::size_t Total = 0;
  for (std::size_t Vm = 0; Vm < Vms.size(); ++Vm)
    Total += actingShards(Vm);
  return Total;
}

} // namespace peridot::test
