#include "coordination/membership/membership_machine.h"

#include <algorithm>
#include <utility>

namespace peridot {

membership_machine::membership_machine(membership_options Chosen)
    : Options(std::move(Chosen)), OwnSequence(Options.Self.Incarnation.Value) {}

membership_machine::effects
membership_machine::handle(const membership_event &Event, instant Now) {
  std::visit([&](const auto &E) { accept(E, Now); }, Event);
  return std::exchange(Effects, {});
}

membership_view membership_machine::view() const {
  membership_view View{.Members = Listed, .HighestRevision = HighestRevision};
  for (member &Member : View.Members) {
    const auto Known = Incarnations.find(Member.Vm);
    if (Known != Incarnations.end())
      Member.Incarnation = Known->second;
    Member.Leaving |= isLeaving(Member.Vm);
    Member.Suspected = Suspects.contains(Member.Vm);
  }
  for (const auto &[Key, Report] : Reports)
    View.SilentLinks.push_back({.From = Key.Subject, .To = Key.Observer});
  return View;
}

bool membership_machine::isLeaving(const vm_name &Vm) const {
  return LeavingVms.contains(Vm) || (Vm == Options.Self.Vm && Own.Leaving);
}

void membership_machine::accept(const vms_listed &Event, instant Now) {
  Listed.assign(Event.Members.begin(), Event.Members.end());
  std::erase_if(LeavingVms, [this](const auto &Entry) {
    return std::ranges::find(Listed, Entry.first, &member::Vm) == Listed.end();
  });
  Incarnations[Options.Self.Vm] = Options.Self.Incarnation;
  Neighbours = chooseNeighbours(Options.Self.Vm, Options.DataCenter, Listed,
                                Options.Neighbours);
  findSources(Now);
}

void membership_machine::findSources(instant Now) {
  std::unordered_map<vm_name, instant> Found;
  for (const member &Member : Listed) {
    if (Member.Vm == Options.Self.Vm || Member.Leaving)
      continue;
    const auto Chosen = chooseNeighbours(Member.Vm, Member.DataCenter, Listed,
                                         Options.Neighbours);
    if (std::ranges::find(Chosen, Options.Self.Vm) == Chosen.end())
      continue;
    const auto Known = Sources.find(Member.Vm);
    Found[Member.Vm] = Known == Sources.end() ? Now : Known->second;
  }
  Sources = std::move(Found);
}

void membership_machine::accept(const heartbeat_received &Event, instant Now) {
  const vm_name &Sender = Event.Sender.Vm;
  incarnation &Known = Incarnations[Sender];
  if (Event.Sender.Incarnation < Known)
    return;
  Known = Event.Sender.Incarnation;
  if (const auto Source = Sources.find(Sender); Source != Sources.end())
    Source->second = Now;
  const auto Left = LeavingVms.find(Sender);
  if (Left != LeavingVms.end() && Left->second.Incarnation < Known)
    LeavingVms.erase(Left);
  HighestRevision = std::max(HighestRevision, Event.Heartbeat.Revision);
  for (const link_report &Report : Event.Heartbeat.Unheard)
    noteReport(Report, Now);
  if (Event.Heartbeat.Leaving)
    noteLeaving(Event.Sender, Now);
  for (const vm_incarnation &Vm : Event.Heartbeat.LeavingVms)
    noteLeaving(Vm, Now);
}

void membership_machine::noteReport(const link_report &Report, instant Now) {
  if (Report.Observer == Options.Self.Vm || Report.Age > Options.ReportLifetime)
    return;
  noted_report &Noted = Reports[{Report.Subject, Report.Observer}];
  if (Report.Sequence > Noted.Sequence)
    Noted = {Report.Sequence, Now - Report.Age};
}

void membership_machine::noteLeaving(const vm_incarnation &Vm, instant Now) {
  const auto Known = Incarnations.find(Vm.Vm);
  if (Vm.Vm == Options.Self.Vm ||
      (Known != Incarnations.end() && Known->second > Vm.Incarnation))
    return;
  leaving_vm &Noted = LeavingVms[Vm.Vm];
  if (Noted.Incarnation >= Vm.Incarnation)
    return;
  Noted = {Vm.Incarnation, Now, Options.LeavingRepeats};
  sendHeartbeats(Now); // The news travels at once, not with the next period.
}

void membership_machine::accept(const heartbeat_due &Event, instant Now) {
  Own = Event;
  const bool WasPaused = Now - LastDue > 2 * Options.Period;
  LastDue = Now;
  if (WasPaused)
    for (auto &[Vm, LastHeard] : Sources)
      LastHeard = Now;
  expire(Now);
  reportSilence(Now);
  judge();
  sendHeartbeats(Now);
}

void membership_machine::reportSilence(instant Now) {
  for (const auto &[Vm, LastHeard] : Sources) {
    const report_key Key{Vm, Options.Self.Vm};
    if (Now - LastHeard > Options.SilenceLimit && !isLeaving(Vm))
      Reports[Key] = {++OwnSequence, Now};
    else
      Reports.erase(Key);
  }
}

void membership_machine::expire(instant Now) {
  std::erase_if(Reports, [&](const auto &Entry) {
    return Now - Entry.second.StatedAt > Options.ReportLifetime;
  });
  std::erase_if(LeavingVms, [&](const auto &Entry) {
    return Now - Entry.second.Since > Options.LeavingLifetime;
  });
}

void membership_machine::judge() {
  std::map<vm_name, std::vector<vm_name>> Observers;
  for (const auto &[Key, Report] : Reports)
    if (Key.Subject != Options.Self.Vm)
      Observers[Key.Subject].push_back(Key.Observer);
  for (auto &[Vm, Names] : Observers)
    if (Names.size() >= Options.Quorum && Suspects.insert(Vm).second)
      Effects.emplace_back(vm_suspected{Vm, Names});
  std::erase_if(Suspects, [&](const vm_name &Vm) {
    const auto Found = Observers.find(Vm);
    const bool IsTrusted =
        Found == Observers.end() || Found->second.size() < Options.Quorum;
    if (IsTrusted)
      Effects.emplace_back(vm_trusted{Vm});
    return IsTrusted;
  });
}

void membership_machine::sendHeartbeats(instant Now) {
  const heartbeat Heartbeat = nextHeartbeat(Now);
  for (const vm_name &Peer : Neighbours)
    Effects.emplace_back(send_heartbeat{Peer, Heartbeat});
}

heartbeat membership_machine::nextHeartbeat(instant Now) {
  heartbeat Next{.Leaving = Own.Leaving, .Revision = Own.Revision};
  auto Report = Reports.upper_bound(LastRelayed);
  const std::size_t Count =
      std::min(Reports.size(), Options.ReportsPerHeartbeat);
  while (Next.Unheard.size() < Count) {
    if (Report == Reports.end())
      Report = Reports.begin();
    const auto &[Key, Noted] = *Report;
    Next.Unheard.push_back(
        {.Observer = Key.Observer,
         .Subject = Key.Subject,
         .Sequence = Noted.Sequence,
         .Age = std::chrono::duration_cast<std::chrono::milliseconds>(
             Now - Noted.StatedAt)});
    LastRelayed = Key;
    ++Report;
  }
  for (auto &[Vm, Noted] : LeavingVms) {
    if (Noted.RepeatsLeft == 0 ||
        Next.LeavingVms.size() == Options.LeavingPerHeartbeat)
      continue;
    --Noted.RepeatsLeft;
    Next.LeavingVms.push_back({Vm, Noted.Incarnation});
  }
  return Next;
}

} // namespace peridot
