// Owner side of the ownership machine: lease, claims and handover.

#include <algorithm>

#include "coordination/ownership/ownership_machine.h"
#include "coordination/ownership/shard_choice.h"

namespace peridot {

void ownership_machine::onMessage(const vm_incarnation &Sender,
                                  const lease_response &Message, instant Now) {
  Selector.recordResponse(Sender, Message.Confirmed, Now);
  if (Message.Confirmed)
    Lease.recordConfirmation(Sender, Message.Sequence);
  else
    Lease.recordRefusal(Sender);
}

void ownership_machine::requestConfirmations(instant Now) {
  if (IsLeaving && ownedShards().empty())
    return;
  if (ownedShards().empty() && claimableShards(Now).empty())
    return;
  const std::vector<vm_name> Peers =
      Selector.choosePeers(recordedWitnesses(), Members, Lease, Now);
  const std::uint64_t Sequence = Lease.startRequest(Now);
  for (const vm_name &Peer : Peers)
    send(Peer, lease_request{Sequence});
}

void ownership_machine::updateLeaseState(instant Now) {
  const std::size_t Shards = ownedShards().size();
  const bool IsHeld = Shards > 0 && Now < leaseExpiresAt(Now);
  if (WasLeaseHeld && !IsHeld && Shards > 0)
    Effects.emplace_back(lease_lost{Shards});
  WasLeaseHeld = IsHeld;
  if (IsHeld || Shards == 0)
    LastHeldAt = Now;
  // If the responses are lost while the requests arrive, the witnesses keep
  // renewing their promises and no successor can take over. A VM that cannot
  // act therefore releases its shards once it has read the map again.
  ShouldReleaseShards = !IsLeaving && Now - LastHeldAt > Options.Lease.Length;
}

std::size_t ownership_machine::desiredWitnessCount() const {
  const auto Others = std::ranges::count_if(Members, [this](const member &M) {
    return M.Vm != Options.Self.Vm && !M.Leaving;
  });
  return std::min(WitnessCount, static_cast<std::size_t>(Others));
}

bool ownership_machine::hasEnoughWitnesses(
    std::span<const vm_incarnation> Proposed, instant Now) {
  const std::size_t Desired = desiredWitnessCount();
  if (Proposed.size() >= Desired) {
    TooFewWitnessesSince = {};
    return true;
  }
  if (TooFewWitnessesSince == instant{})
    TooFewWitnessesSince = Now;
  return !Proposed.empty() &&
         Now - TooFewWitnessesSince > Options.Lease.RequestPeriod;
}

bool ownership_machine::shouldRewriteWitnesses(
    std::span<const vm_incarnation> Proposed, instant Now) const {
  if (ownedShards().empty() || Now < NextWitnessRewrite)
    return false;
  const witness_set Recorded = recordedWitnesses();
  const bool IsReplacementDue =
      std::ranges::any_of(Recorded, [&](const vm_incarnation &Witness) {
        return Selector.needsReplacement(Witness, Members, Lease, Now);
      });
  return IsReplacementDue || Proposed.size() > Recorded.size();
}

void ownership_machine::writeMapIfDue(instant Now) {
  if (IsWriteInProgress || NeedsMapRead || Now < NextWrite)
    return;
  const std::vector<shard_number> Claims = claimableShards(Now);
  if (Claims.empty() && ownedShards().empty())
    return;
  const witness_set Proposed =
      Selector.proposeWitnesses(recordedWitnesses(), Members, Lease, Now);
  if (!hasEnoughWitnesses(Proposed, Now))
    return;
  if (!Claims.empty() || shouldRewriteWitnesses(Proposed, Now))
    writeMap(Claims, Proposed, Now);
}

void ownership_machine::writeMap(std::span<const shard_number> Claims,
                                 const witness_set &Witnesses, instant Now) {
  pending_write Write{
      .ExpectedVersion = MapVersion, .Witnesses = Witnesses, .Map = Map};
  for (auto &Row : Write.Map.Shards)
    if (Row && Row->Owner == Options.Self)
      Row->Witnesses = Witnesses;
  for (const shard_number Shard : Claims) {
    auto &Row = Write.Map.Shards[Shard.Value];
    const epoch Epoch = Row ? Row->Epoch.next() : epoch{1};
    Row = shard_ownership{Options.Self, Epoch, Witnesses};
  }
  IsWriteInProgress = true;
  NextWitnessRewrite = Now + Options.Lease.WitnessRewriteInterval;
  Effects.emplace_back(write_shard_map{Write.ExpectedVersion, Write.Map});
  Pending.push_back(std::move(Write));
}

std::vector<shard_number> ownership_machine::claimableShards(instant Now) {
  std::vector<shard_number> Claims;
  const bool IsListed =
      std::ranges::find(Members, Options.Self.Vm, &member::Vm) != Members.end();
  if (IsLeaving || !IsListed)
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
    const auto HandedOver = Handovers.find({Shard, Row->Epoch});
    return HandedOver != Handovers.end() &&
           Now - HandedOver->second.StartedAt > Options.Lease.ReleaseTimeout;
  }
  if (Evidence.isReleased(Shard, *Row))
    return true;
  return mayClaimBlockedShard(Shard, *Row, Now);
}

bool ownership_machine::mayClaimBlockedShard(shard_number Shard,
                                             const shard_ownership &Row,
                                             instant Now) {
  if (!Evidence.isBlocked(Row, History, Now))
    return false;
  const instant Since = BlockedSince.try_emplace(Row.Owner, Now).first->second;
  if (Now - Since > Options.Lease.Length)
    return true; // The chosen successor did not claim the shard in time.
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
  for (const shard_number Shard : ownedShards()) {
    const auto HandedOver = Handovers.find({Shard, Map.at(Shard)->Epoch});
    if (HandedOver != Handovers.end() &&
        Now - HandedOver->second.StartedAt < Options.Lease.RequestPeriod)
      continue;
    const auto Successor = chooseOwner(Shard, Members, Options.Self.Vm);
    if (!Successor)
      continue;
    releaseTo(Shard, *Successor, Cause, Now);
    Released = true;
  }
  if (Released)
    resendReleases(Now);
}

void ownership_machine::rebalance(instant Now) {
  if (IsLeaving || Now < NextRebalance)
    return;
  NextRebalance = Now + Options.Lease.RebalancePeriod;
  const auto EligibleCount = std::ranges::count_if(
      Members, [](const member &M) { return !M.Leaving && !M.Suspected; });
  const std::vector<shard_number> Owned = ownedShards();
  const std::size_t FairShare =
      ShardCount /
      std::max<std::size_t>(1, static_cast<std::size_t>(EligibleCount));
  if (Owned.size() <= 2 * (FairShare + 1))
    return;
  for (const shard_number Shard : Owned) {
    const auto Successor = chooseOwner(Shard, Members, {});
    if (Successor && *Successor != Options.Self.Vm && !isHandedOver(Shard))
      releaseTo(Shard, *Successor, release_cause::Rebalancing, Now);
  }
}

void ownership_machine::resendReleases(instant Now) {
  std::map<vm_name, shard_release> BySuccessor;
  for (const auto &[Term, Handover] : Handovers)
    if (IsLeaving || Now - Handover.StartedAt < Options.Lease.ReleaseTimeout)
      BySuccessor[Handover.Successor].Terms.push_back(Term);
  for (auto &[Successor, Release] : BySuccessor)
    send(Successor, std::move(Release));
}

} // namespace peridot
