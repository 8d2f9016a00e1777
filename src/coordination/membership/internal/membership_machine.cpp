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
  return LeavingVms.contains(Vm) || (Vm == Options.Self.Vm && OwnState.Leaving);
}

void membership_machine::accept(const vm_list_read &Event, instant Now) {
  Listed.assign(Event.Members.begin(), Event.Members.end());
  std::erase_if(LeavingVms, [this](const auto &Entry) {
    return std::ranges::find(Listed, Entry.first, &member::Vm) == Listed.end();
  });
  Incarnations[Options.Self.Vm] = Options.Self.Incarnation;
  HeartbeatPeers = chooseHeartbeatPeers(Options.Self.Vm, Options.DataCenter,
                                        Listed, Options.HeartbeatPeers);
  updateHeartbeatSenders(Now);
}

void membership_machine::updateHeartbeatSenders(instant Now) {
  std::unordered_map<vm_name, instant> Senders;
  for (const member &Member : Listed) {
    if (Member.Vm == Options.Self.Vm || Member.Leaving)
      continue;
    const auto Chosen = chooseHeartbeatPeers(Member.Vm, Member.DataCenter,
                                             Listed, Options.HeartbeatPeers);
    if (std::ranges::find(Chosen, Options.Self.Vm) == Chosen.end())
      continue;
    const auto Known = HeartbeatSenders.find(Member.Vm);
    Senders[Member.Vm] = Known == HeartbeatSenders.end() ? Now : Known->second;
  }
  HeartbeatSenders = std::move(Senders);
}

void membership_machine::accept(const heartbeat_received &Event, instant Now) {
  const vm_name &Sender = Event.Sender.Vm;
  incarnation &Known = Incarnations[Sender];
  if (Event.Sender.Incarnation < Known)
    return;
  Known = Event.Sender.Incarnation;
  if (const auto HeartbeatSender = HeartbeatSenders.find(Sender);
      HeartbeatSender != HeartbeatSenders.end())
    HeartbeatSender->second = Now;
  const auto LeavingEntry = LeavingVms.find(Sender);
  if (LeavingEntry != LeavingVms.end() &&
      LeavingEntry->second.Incarnation < Known)
    LeavingVms.erase(LeavingEntry);
  HighestRevision = std::max(HighestRevision, Event.Heartbeat.Revision);
  for (const link_report &Report : Event.Heartbeat.SilentLinkReports)
    recordReport(Report, Now);
  if (Event.Heartbeat.Leaving)
    recordLeaving(Event.Sender, Now);
  for (const vm_incarnation &Vm : Event.Heartbeat.LeavingVms)
    recordLeaving(Vm, Now);
}

void membership_machine::recordReport(const link_report &Report, instant Now) {
  if (Report.Observer == Options.Self.Vm || Report.Age > Options.ReportLifetime)
    return;
  stored_report &Stored = Reports[{Report.Subject, Report.Observer}];
  if (Report.Sequence > Stored.Sequence)
    Stored = {Report.Sequence, Now - Report.Age};
}

void membership_machine::recordLeaving(const vm_incarnation &Vm, instant Now) {
  const auto Known = Incarnations.find(Vm.Vm);
  if (Vm.Vm == Options.Self.Vm ||
      (Known != Incarnations.end() && Known->second > Vm.Incarnation))
    return;
  leaving_vm &Stored = LeavingVms[Vm.Vm];
  if (Stored.Incarnation >= Vm.Incarnation)
    return;
  Stored = {Vm.Incarnation, Now, Options.LeavingRepeats};
  sendHeartbeats(Now); // Announces it without waiting for the next period.
}

void membership_machine::accept(const heartbeat_due &Event, instant Now) {
  OwnState = Event;
  const bool WasPaused = Now - LastHeartbeatDueAt > 2 * Options.Period;
  LastHeartbeatDueAt = Now;
  // A paused VM received no heartbeats, so their age says nothing about
  // the senders.
  if (WasPaused)
    for (auto &[Vm, LastReceivedAt] : HeartbeatSenders)
      LastReceivedAt = Now;
  expire(Now);
  updateOwnReports(Now);
  updateSuspects();
  sendHeartbeats(Now);
}

void membership_machine::updateOwnReports(instant Now) {
  for (const auto &[Vm, LastReceivedAt] : HeartbeatSenders) {
    const report_key Key{Vm, Options.Self.Vm};
    if (Now - LastReceivedAt > Options.SilenceLimit && !isLeaving(Vm))
      Reports[Key] = {++OwnSequence, Now};
    else
      Reports.erase(Key);
  }
}

void membership_machine::expire(instant Now) {
  std::erase_if(Reports, [&](const auto &Entry) {
    return Now - Entry.second.ReportedAt > Options.ReportLifetime;
  });
  std::erase_if(LeavingVms, [&](const auto &Entry) {
    return Now - Entry.second.LearnedAt > Options.LeavingLifetime;
  });
}

void membership_machine::updateSuspects() {
  std::map<vm_name, std::vector<vm_name>> Observers;
  for (const auto &[Key, Report] : Reports)
    if (Key.Subject != Options.Self.Vm)
      Observers[Key.Subject].push_back(Key.Observer);
  for (auto &[Vm, VmObservers] : Observers)
    if (VmObservers.size() >= Options.Quorum && Suspects.insert(Vm).second)
      Effects.emplace_back(vm_suspected{Vm, VmObservers});
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
  for (const vm_name &Peer : HeartbeatPeers)
    Effects.emplace_back(send_heartbeat{Peer, Heartbeat});
}

heartbeat membership_machine::nextHeartbeat(instant Now) {
  heartbeat Next{.Leaving = OwnState.Leaving, .Revision = OwnState.Revision};
  auto Report = Reports.upper_bound(LastSentReport);
  const std::size_t Count =
      std::min(Reports.size(), Options.ReportsPerHeartbeat);
  while (Next.SilentLinkReports.size() < Count) {
    if (Report == Reports.end())
      Report = Reports.begin();
    const auto &[Key, Stored] = *Report;
    Next.SilentLinkReports.push_back(
        {.Observer = Key.Observer,
         .Subject = Key.Subject,
         .Sequence = Stored.Sequence,
         .Age = std::chrono::duration_cast<std::chrono::milliseconds>(
             Now - Stored.ReportedAt)});
    LastSentReport = Key;
    ++Report;
  }
  for (auto &[Vm, Stored] : LeavingVms) {
    if (Stored.RepeatsLeft == 0 ||
        Next.LeavingVms.size() == Options.LeavingPerHeartbeat)
      continue;
    --Stored.RepeatsLeft;
    Next.LeavingVms.push_back({Vm, Stored.Incarnation});
  }
  return Next;
}

} // namespace peridot
