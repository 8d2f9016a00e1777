#include "coordination/limits/share_allocator.h"

#include <algorithm>

#include "coordination/membership/preferred_vms.h"
#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

/// Minimum time between two recalls from the same holder.
constexpr std::chrono::milliseconds MinRecallInterval{250};
/// Epoch of a shard's first term: no earlier owner can have granted shares.
constexpr epoch FirstEpoch{1};

addressed_grants &batchFor(std::vector<addressed_grants> &Out,
                           const vm_incarnation &Holder, instant RequestedAt) {
  for (addressed_grants &Each : Out)
    if (Each.Holder == Holder.Vm && Each.Batch.Holder == Holder.Incarnation &&
        Each.Batch.RequestedAt == RequestedAt)
      return Each;
  Out.push_back({Holder.Vm,
                 {.Holder = Holder.Incarnation,
                  .RequestedAt = RequestedAt,
                  .Grants = {}}});
  return Out.back();
}

} // namespace

std::vector<addressed_grants>
share_allocator::handle(const allocator_event &Event, instant Now) {
  using grants = std::vector<addressed_grants>;
  return std::visit(
      overloaded{[&](const shares_requested &Each) { return apply(Each, Now); },
                 [&](const auto &Each) {
                   apply(Each, Now);
                   return grants{};
                 }},
      Event);
}

void share_allocator::apply(const accounts_configured &Event, instant Now) {
  Accounts.clear();
  for (const limited_account &Account : Event.Accounts)
    Accounts.try_emplace(Account.Id,
                         account_entry{Account, shardOf(Account.Name)});
  for (auto &[Key, Pool] : Pools)
    if (const auto Found = Accounts.find(Key.Account); Found != Accounts.end())
      Pool.setLimit(poolLimit(Found->second.Limit, Key.Pool, Options), Now);
}

void share_allocator::dropPools(shard_number Shard) {
  std::erase_if(PoolShards, [&](const auto &Entry) {
    const bool Drop = Entry.second == Shard;
    if (Drop)
      Pools.erase(Entry.first);
    return Drop;
  });
}

bool share_allocator::isActingOwner(const ownership_view &Ownership,
                                    shard_number Shard, instant Now) const {
  const auto &Recorded = Ownership.Map.at(Shard);
  return Recorded && Recorded->Owner == Self && Ownership.mayAct(Shard, Now);
}

void share_allocator::apply(const fleet_observed &Event, instant Now) {
  for (const auto &[Shard, Until] : Event.Ownership.ActingUntil) {
    if (!isActingOwner(Event.Ownership, Shard, Now))
      continue;
    const epoch Epoch = Event.Ownership.Map.at(Shard)->Epoch;
    const auto Known = Terms.find(Shard);
    if (Known != Terms.end() && Known->second.Epoch >= Epoch)
      continue;
    Terms.insert_or_assign(Shard, shard_term{Epoch, Now});
    dropPools(Shard);
  }
}

std::vector<addressed_grants>
share_allocator::apply(const shares_requested &Event, instant Now) {
  apply(Event.Fleet, Now);
  std::vector<addressed_grants> Out;
  received_batch &Last = LatestBatches[Event.Holder.Vm];
  const received_batch This{Event.Holder.Incarnation, Event.Batch.Sequence};
  if (This <= Last)
    return Out;
  Last = This;
  for (const share_request &Request : Event.Batch.Requests)
    handleRequest(Event, Request, Out, Now);
  return Out;
}

split_policy share_allocator::policyFor(const shares_requested &Event,
                                        const account_entry &Entry,
                                        pool_kind Pool) const {
  if (Pool == pool_kind::Main)
    return split_by_demand{};
  const auto PreferredVms = preferredVms(Entry.Limit.Name, Event.Fleet.Members,
                                         Options.ReserveHoldersPerDataCenter);
  const double Burst = poolLimit(Entry.Limit, Pool, Options).Burst;
  const auto Useful = static_cast<std::size_t>(std::max(1.0, Burst));
  return split_equally{std::clamp<std::size_t>(PreferredVms.size(), 1, Useful)};
}

share_pool &share_allocator::getOrCreatePool(const account_entry &Entry,
                                             pool_kind Pool,
                                             const shard_term &Term) {
  const pool_key Key{Entry.Limit.Id, Pool};
  const bool First = Term.Epoch == FirstEpoch;
  // Shares granted by an earlier owner have expired after the hold time.
  const instant From =
      First ? Term.ActingSince : Term.ActingSince + Options.holdTimeOf(Pool);
  PoolShards.try_emplace(Key, Entry.Shard);
  return Pools
      .try_emplace(Key, poolLimit(Entry.Limit, Pool, Options),
                   pool_start{.UsableFrom = From, .StartsFull = First})
      .first->second;
}

share_grant share_allocator::completeGrant(share_grant Grant,
                                           const account_entry &Entry,
                                           pool_kind Pool, epoch Epoch) const {
  Grant.Account = Entry.Limit.Id;
  Grant.Pool = Pool;
  Grant.Epoch = Epoch;
  Grant.LimitRate = Entry.Limit.Rate;
  Grant.LimitBurst = Entry.Limit.Burst;
  return Grant;
}

void share_allocator::handleRequest(const shares_requested &Event,
                                    const share_request &Request,
                                    std::vector<addressed_grants> &Out,
                                    instant Now) {
  const auto Found = Accounts.find(Request.Account);
  if (Found == Accounts.end())
    return;
  const account_entry &Entry = Found->second;
  const auto Term = Terms.find(Entry.Shard);
  if (Term == Terms.end() ||
      !isActingOwner(Event.Fleet.Ownership, Entry.Shard, Now))
    return;
  const epoch Epoch = Term->second.Epoch;
  share_request Adjusted = Request;
  if (Request.Epoch != Epoch) {
    Adjusted.ReleasedBelow = {};
    Adjusted.Returned = 0;
  }
  share_pool &Pool = getOrCreatePool(Entry, Request.Pool, Term->second);
  const share_grant Grant =
      Pool.grant(Event.Holder, Adjusted, Event.Batch.SentAt,
                 policyFor(Event, Entry, Request.Pool),
                 Options.holdTimeOf(Request.Pool), Now);
  batchFor(Out, Event.Holder, Event.Batch.SentAt)
      .Batch.Grants.push_back(completeGrant(Grant, Entry, Request.Pool, Epoch));
  if (Request.Pool == pool_kind::Reserve)
    return;
  for (const share_change &Change : Pool.rebalance(MinRecallInterval, Now))
    batchFor(Out, Change.Holder, Change.RequestedAt)
        .Batch.Grants.push_back(
            completeGrant(Change.Grant, Entry, Request.Pool, Epoch));
}

} // namespace peridot
