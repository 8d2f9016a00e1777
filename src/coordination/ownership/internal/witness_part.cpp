// The part of the ownership machine that witnesses leases of others and takes
// their shards over.

#include <algorithm>

#include "coordination/ownership/ownership_machine.h"
#include "coordination/ownership/shard_choice.h"

namespace peridot {

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lease_question &Message, instant Now) {
  if (History.isDropped(Sender.Vm))
    return;
  const bool Confirmed = Promises.confirm(Sender, Now);
  send(Sender.Vm, lease_answer{Message.Sequence, Confirmed});
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lapse_request &Message, instant Now) {
  if (Message.Owner == Options.Self)
    return;
  const bool Lapsed = Message.Final ? Promises.refuse(Message.Owner, Now)
                                    : Promises.lapsed(Message.Owner, Now);
  if (Lapsed)
    send(Sender.Vm, lease_lapse{Message.Owner, Message.Final});
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lease_lapse &Message, instant) {
  if (Message.Final)
    Evidence.lapsed(Message.Owner, Sender);
  else
    takeOver(Message.Owner);
}

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const shard_release &Message, instant) {
  bool IsStale = false;
  for (const shard_term &Term : Message.Terms) {
    Evidence.released(Sender, Term);
    const auto &Row = Map.at(Term.Shard);
    IsStale |= !Row || Row->Epoch < Term.Epoch;
  }
  if (IsStale)
    Effects.emplace_back(read_shard_map{});
}

void ownership_machine::takeOver(const vm_incarnation &Owner) {
  if (Leaving)
    return;
  Candidates.insert(Owner);
  // The witnesses are bound only for a candidate that reaches the platform.
  Effects.emplace_back(read_shard_map{});
}

void ownership_machine::requestLapses(instant Now) {
  std::set<vm_incarnation> Asked;
  for (const auto &Row : Map.Shards) {
    if (!Row || !Candidates.contains(Row->Owner) ||
        !Asked.insert(Row->Owner).second)
      continue;
    for (const vm_incarnation &Witness : Row->Witnesses) {
      if (Witness != Options.Self)
        send(Witness.Vm, lapse_request{Row->Owner, true});
      else if (Promises.refuse(Row->Owner, Now))
        Evidence.lapsed(Row->Owner, Options.Self);
    }
  }
  Candidates.clear();
}

void ownership_machine::probeOwners(instant Now) {
  if (Leaving || Now < NextProbe)
    return;
  NextProbe = Now + Options.Lease.ProbePeriod;
  std::set<vm_incarnation> Probed;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index) {
    const auto &Row = Map.Shards[Index];
    if (!Row || Row->Owner == Options.Self || Probed.contains(Row->Owner) ||
        chooseOwner({Index}, Members, Row->Owner.Vm) != Options.Self.Vm)
      continue;
    Probed.insert(Row->Owner);
    // Even a restarted VM answers, which shows its later incarnation.
    send(Row->Owner.Vm, lapse_request{Row->Owner, false});
    for (const vm_incarnation &Witness : Row->Witnesses)
      send(Witness.Vm, lapse_request{Row->Owner, false});
  }
}

void ownership_machine::reportLapses(instant Now) {
  std::map<vm_incarnation, std::set<vm_name>> Successors;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index) {
    const auto &Row = Map.Shards[Index];
    if (!Row || Row->Owner == Options.Self ||
        std::ranges::find(Row->Witnesses, Options.Self) ==
            Row->Witnesses.end() ||
        !Promises.lapsed(Row->Owner, Now))
      continue;
    if (const auto Chosen = chooseOwner({Index}, Members, Row->Owner.Vm))
      Successors[Row->Owner].insert(*Chosen);
  }
  for (const auto &[Owner, Names] : Successors)
    for (const vm_name &Name : Names) {
      if (Name == Options.Self.Vm)
        takeOver(Owner);
      else
        send(Name, lease_lapse{Owner, false});
    }
}

} // namespace peridot
