// The owner's part of the ownership machine: lease, claims and handover.

#include <algorithm>

#include "coordination/ownership/ownership_machine.h"
#include "coordination/ownership/shard_choice.h"

namespace peridot {

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lease_answer &Message, instant Now) {
  Recruiting.answered(Sender, Message.Confirmed, Now);
  if (Message.Confirmed)
    Lease.confirmed(Sender, Message.Sequence);
  else
    Lease.refused(Sender);
}

void ownership_machine::askWitnesses(instant Now) {
  if (Leaving && ownShards().empty())
    return;
  if (ownShards().empty() && claimable(Now).empty())
    return;
  const std::vector<vm_name> Peers =
      Recruiting.choose(recordedWitnesses(), Members, Lease, Now);
  const std::uint64_t Sequence = Lease.ask(Now);
  for (const vm_name &Peer : Peers)
    send(Peer, lease_question{Sequence});
}

void ownership_machine::noteLease(instant Now) {
  const std::size_t Shards = ownShards().size();
  const bool Holds = Shards > 0 && Now < leaseUntil(Now);
  if (HeldLease && !Holds && Shards > 0)
    Effects.emplace_back(lease_lost{Shards});
  HeldLease = Holds;
  if (Holds || Shards == 0)
    LapsedSince = Now;
  // Answers may be cut while questions arrive, which keeps the witnesses'
  // promises alive. Whoever cannot act hands over, if the platform is there.
  Resigning = !Leaving && Now - LapsedSince > Options.Lease.Length;
}

std::size_t ownership_machine::wantedWitnesses() const {
  const auto Others = std::ranges::count_if(Members, [this](const member &M) {
    return M.Vm != Options.Self.Vm && !M.Leaving;
  });
  return std::min(WitnessCount, static_cast<std::size_t>(Others));
}

bool ownership_machine::isEnough(std::span<const vm_incarnation> Proposed,
                                 instant Now) {
  const std::size_t Wanted = wantedWitnesses();
  if (Proposed.size() >= Wanted) {
    ShortSince = {};
    return true;
  }
  if (ShortSince == instant{})
    ShortSince = Now;
  return !Proposed.empty() && Now - ShortSince > Options.Lease.AskPeriod;
}

bool ownership_machine::witnessesNeedRewrite(
    std::span<const vm_incarnation> Proposed, instant Now) const {
  if (ownShards().empty() || Now < NextExchange)
    return false;
  const witness_set Recorded = recordedWitnesses();
  const bool Fails =
      std::ranges::any_of(Recorded, [&](const vm_incarnation &Witness) {
        return Recruiting.isFailing(Witness, Members, Lease, Now);
      });
  return Fails || Proposed.size() > Recorded.size();
}

void ownership_machine::writeIfDue(instant Now) {
  if (WriteIsRunning || NeedsRead || Now < NextWrite)
    return;
  const std::vector<shard_number> Claims = claimable(Now);
  if (Claims.empty() && ownShards().empty())
    return;
  const witness_set Proposed =
      Recruiting.proposal(recordedWitnesses(), Members, Lease, Now);
  if (!isEnough(Proposed, Now))
    return;
  if (!Claims.empty() || witnessesNeedRewrite(Proposed, Now))
    write(Claims, Proposed, Now);
}

void ownership_machine::write(std::span<const shard_number> Claims,
                              const witness_set &Witnesses, instant Now) {
  pending_write Write{
      .Expected = MapVersion, .Witnesses = Witnesses, .Map = Map};
  for (auto &Row : Write.Map.Shards)
    if (Row && Row->Owner == Options.Self)
      Row->Witnesses = Witnesses;
  for (const shard_number Shard : Claims) {
    auto &Row = Write.Map.Shards[Shard.Value];
    const epoch Epoch = Row ? Row->Epoch.next() : epoch{1};
    Row = shard_ownership{Options.Self, Epoch, Witnesses};
  }
  WriteIsRunning = true;
  NextExchange = Now + Options.Lease.RewritePeriod;
  Effects.emplace_back(write_shard_map{Write.Expected, Write.Map});
  Pending.push_back(std::move(Write));
}

std::vector<shard_number> ownership_machine::claimable(instant Now) {
  std::vector<shard_number> Claims;
  const bool IsListed =
      std::ranges::find(Members, Options.Self.Vm, &member::Vm) != Members.end();
  if (Leaving || !IsListed)
    return Claims;
  for (std::uint64_t Index = 0; Index < ShardCount; ++Index)
    if (isClaimable({Index}, Now))
      Claims.push_back({Index});
  return Claims;
}

bool ownership_machine::isClaimable(shard_number Shard, instant Now) {
  const auto &Row = Map.at(Shard);
  if (!Row)
    return chooseOwner(Shard, Members, {}) == Options.Self.Vm;
  if (Row->Owner == Options.Self) {
    const auto Handed = Handovers.find({Shard, Row->Epoch});
    return Handed != Handovers.end() &&
           Now - Handed->second.At > Options.Lease.ReleaseLimit;
  }
  if (Evidence.isReleased(Shard, *Row))
    return true;
  return mayClaimBlocked(Shard, *Row, Now);
}

bool ownership_machine::mayClaimBlocked(shard_number Shard,
                                        const shard_ownership &Row,
                                        instant Now) {
  if (!Evidence.isBlocked(Row, History, Now))
    return false;
  const instant Since = BlockedSince.try_emplace(Row.Owner, Now).first->second;
  if (Now - Since > Options.Lease.Length)
    return true; // The VM that should have claimed did not.
  const bool IsOwnVm = Row.Owner.Vm == Options.Self.Vm;
  return chooseOwner(Shard, Members, IsOwnVm ? vm_name() : Row.Owner.Vm) ==
         Options.Self.Vm;
}

void ownership_machine::releaseTo(shard_number Shard, const vm_name &Successor,
                                  release_cause Cause, instant Now) {
  const shard_term Term{Shard, Map.at(Shard)->Epoch};
  Handovers.insert_or_assign(Term, handover{Successor, Now});
  Effects.emplace_back(shard_released{Term, Successor, Cause});
}

void ownership_machine::releaseAll(release_cause Cause, instant Now) {
  bool Released = false;
  for (const shard_number Shard : ownShards()) {
    const auto Handed = Handovers.find({Shard, Map.at(Shard)->Epoch});
    if (Handed != Handovers.end() &&
        Now - Handed->second.At < Options.Lease.AskPeriod)
      continue;
    const auto Successor = chooseOwner(Shard, Members, Options.Self.Vm);
    if (!Successor)
      continue;
    releaseTo(Shard, *Successor, Cause, Now);
    Released = true;
  }
  if (Released)
    repeatReleases(Now);
}

void ownership_machine::rebalance(instant Now) {
  if (Leaving || Now < NextRebalance)
    return;
  NextRebalance = Now + Options.Lease.RebalancePeriod;
  const auto Eligible = std::ranges::count_if(
      Members, [](const member &M) { return !M.Leaving && !M.Suspected; });
  const std::vector<shard_number> Own = ownShards();
  const std::size_t Fair =
      ShardCount / std::max<std::size_t>(1, static_cast<std::size_t>(Eligible));
  if (Own.size() <= 2 * (Fair + 1))
    return;
  for (const shard_number Shard : Own) {
    const auto Successor = chooseOwner(Shard, Members, {});
    if (Successor && *Successor != Options.Self.Vm && !isHandedOver(Shard))
      releaseTo(Shard, *Successor, release_cause::UnevenSpread, Now);
  }
}

void ownership_machine::repeatReleases(instant Now) {
  std::map<vm_name, shard_release> BySuccessor;
  for (const auto &[Term, Handover] : Handovers)
    if (Leaving || Now - Handover.At < Options.Lease.ReleaseLimit)
      BySuccessor[Handover.Successor].Terms.push_back(Term);
  for (auto &[Successor, Release] : BySuccessor)
    send(Successor, std::move(Release));
}

} // namespace peridot
