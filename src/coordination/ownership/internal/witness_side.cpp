// Witness and successor side of the ownership machine: confirms the leases of
// other VMs and takes their shards over.

#include <algorithm>

#include "coordination/ownership/ownership_machine.h"
#include "coordination/ownership/shard_choice.h"

namespace peridot {

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lease_request &Message, instant Now) {
  if (History.isDropped(Sender.Vm))
    return;
  const bool Confirmed = Promises.confirm(Sender, Now);
  send(Sender.Vm, lease_response{Message.Sequence, Confirmed});
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lapse_request &Message, instant Now) {
  if (Message.Owner == Options.Self)
    return;
  const bool Lapsed = Message.Final
                          ? Promises.refuseIfLapsed(Message.Owner, Now)
                          : Promises.hasLapsed(Message.Owner, Now);
  if (Lapsed)
    send(Sender.Vm, lease_lapse{Message.Owner, Message.Final});
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lease_lapse &Message, instant) {
  if (Message.Final)
    Evidence.recordFinalLapse(Message.Owner, Sender);
  else
    startTakeover(Message.Owner);
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const shard_release &Message, instant) {
  bool IsStale = false;
  for (const shard_term &Term : Message.Terms) {
    Evidence.recordRelease(Sender, Term);
    const auto &Row = Map.at(Term.Shard);
    IsStale |= !Row || Row->Epoch < Term.Epoch;
  }
  if (IsStale)
    Effects.emplace_back(read_shard_map{});
}

void ownership_machine::startTakeover(const vm_incarnation &Owner) {
  if (IsLeaving)
    return;
  OwnersToTakeOver.insert(Owner);
  // Witnesses refuse an owner for good only for a successor that can reach the
  // platform: final lapses are requested after a successful read.
  Effects.emplace_back(read_shard_map{});
}

void ownership_machine::requestFinalLapses(instant Now) {
  std::set<vm_incarnation> Requested;
  for (const auto &Row : Map.Shards) {
    if (!Row || !OwnersToTakeOver.contains(Row->Owner) ||
        !Requested.insert(Row->Owner).second)
      continue;
    for (const vm_incarnation &Witness : Row->Witnesses) {
      if (Witness != Options.Self)
        send(Witness.Vm, lapse_request{Row->Owner, true});
      else if (Promises.refuseIfLapsed(Row->Owner, Now))
        Evidence.recordFinalLapse(Row->Owner, Options.Self);
    }
  }
  OwnersToTakeOver.clear();
}

void ownership_machine::probeOwners(instant Now) {
  if (IsLeaving || Now < NextProbe)
    return;
  NextProbe = Now + Options.Lease.ProbePeriod;
  std::set<vm_incarnation> Probed;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index) {
    const auto &Row = Map.Shards[Index];
    if (!Row || Row->Owner == Options.Self || Probed.contains(Row->Owner) ||
        chooseOwner({Index}, Members, Row->Owner.Vm) != Options.Self.Vm)
      continue;
    Probed.insert(Row->Owner);
    // The response of a restarted VM shows its newer incarnation.
    send(Row->Owner.Vm, lapse_request{Row->Owner, false});
    for (const vm_incarnation &Witness : Row->Witnesses)
      send(Witness.Vm, lapse_request{Row->Owner, false});
  }
}

void ownership_machine::reportLapsedLeases(instant Now) {
  std::map<vm_incarnation, std::set<vm_name>> Successors;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index) {
    const auto &Row = Map.Shards[Index];
    if (!Row || Row->Owner == Options.Self ||
        std::ranges::find(Row->Witnesses, Options.Self) ==
            Row->Witnesses.end() ||
        !Promises.hasLapsed(Row->Owner, Now))
      continue;
    if (const auto Chosen = chooseOwner({Index}, Members, Row->Owner.Vm))
      Successors[Row->Owner].insert(*Chosen);
  }
  for (const auto &[Owner, Names] : Successors)
    for (const vm_name &Name : Names) {
      if (Name == Options.Self.Vm)
        startTakeover(Owner);
      else
        send(Name, lease_lapse{Owner, false});
    }
}

} // namespace peridot
