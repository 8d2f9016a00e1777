#include "coordination/limits/lending_machine.h"

#include <algorithm>

#include "coordination/membership/home_vms.h"
#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

/// Least time between two recalls from one borrower.
constexpr std::chrono::milliseconds RecallPause{250};
/// The first term of a shard has no predecessor that might have lent.
constexpr epoch FirstEpoch{1};

addressed_grants &batchFor(std::vector<addressed_grants> &Out,
                           const vm_incarnation &Borrower,
                           instant RequestedAt) {
  for (addressed_grants &Each : Out)
    if (Each.Borrower == Borrower.Vm &&
        Each.Batch.Borrower == Borrower.Incarnation &&
        Each.Batch.RequestedAt == RequestedAt)
      return Each;
  Out.push_back({Borrower.Vm,
                 {.Borrower = Borrower.Incarnation,
                  .RequestedAt = RequestedAt,
                  .Grants = {}}});
  return Out.back();
}

} // namespace

std::vector<addressed_grants>
lending_machine::handle(const lending_event &Event, instant Now) {
  using grants = std::vector<addressed_grants>;
  return std::visit(
      overloaded{[&](const shares_requested &Each) { return apply(Each, Now); },
                 [&](const auto &Each) {
                   apply(Each, Now);
                   return grants{};
                 }},
      Event);
}

void lending_machine::apply(const accounts_configured &Event, instant Now) {
  Accounts.clear();
  for (const limited_account &Account : Event.Accounts)
    Accounts.try_emplace(Account.Id,
                         account_entry{Account, shardOf(Account.Name)});
  for (auto &[Key, Pool] : Pools)
    if (const auto Found = Accounts.find(Key.Account); Found != Accounts.end())
      Pool.setLimit(poolLimit(Found->second.Limit, Key.Pool, Options), Now);
}

void lending_machine::dropPools(shard_number Shard) {
  std::erase_if(PoolShards, [&](const auto &Entry) {
    const bool Drop = Entry.second == Shard;
    if (Drop)
      Pools.erase(Entry.first);
    return Drop;
  });
}

bool lending_machine::owns(const ownership_view &Ownership, shard_number Shard,
                           instant Now) const {
  const auto &Recorded = Ownership.Map.at(Shard);
  return Recorded && Recorded->Owner == Self && Ownership.mayAct(Shard, Now);
}

void lending_machine::apply(const fleet_observed &Event, instant Now) {
  for (const auto &[Shard, Until] : Event.Ownership.ActingUntil) {
    if (!owns(Event.Ownership, Shard, Now))
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
lending_machine::apply(const shares_requested &Event, instant Now) {
  apply(Event.Fleet, Now);
  std::vector<addressed_grants> Out;
  heard_batch &Last = Heard[Event.Borrower.Vm];
  const heard_batch This{Event.Borrower.Incarnation, Event.Batch.Sequence};
  if (This <= Last)
    return Out;
  Last = This;
  for (const share_request &Request : Event.Batch.Requests)
    answer(Event, Request, Out, Now);
  return Out;
}

split_policy lending_machine::policyFor(const shares_requested &Event,
                                        const account_entry &Entry,
                                        pool_kind Pool) const {
  if (Pool == pool_kind::Main)
    return split_by_demand{};
  const auto Homes = homeVms(Entry.Limit.Name, Event.Fleet.Members,
                             Options.HomesPerDataCenter);
  const double Burst = poolLimit(Entry.Limit, Pool, Options).Burst;
  const auto Useful = static_cast<std::size_t>(std::max(1.0, Burst));
  return split_equally{std::clamp<std::size_t>(Homes.size(), 1, Useful)};
}

lending_pool &lending_machine::poolOf(const account_entry &Entry,
                                      pool_kind Pool, const shard_term &Term) {
  const pool_key Key{Entry.Limit.Id, Pool};
  const bool First = Term.Epoch == FirstEpoch;
  // What an earlier owner lent has surely ended after the hold time.
  const instant From =
      First ? Term.ActingSince : Term.ActingSince + Options.holdOf(Pool);
  PoolShards.try_emplace(Key, Entry.Shard);
  return Pools
      .try_emplace(Key, poolLimit(Entry.Limit, Pool, Options),
                   pool_start{.UsableFrom = From, .Full = First})
      .first->second;
}

share_grant lending_machine::complete(share_grant Grant,
                                      const account_entry &Entry,
                                      pool_kind Pool, epoch Epoch) const {
  Grant.Account = Entry.Limit.Id;
  Grant.Pool = Pool;
  Grant.Epoch = Epoch;
  Grant.LimitRate = Entry.Limit.Rate;
  Grant.LimitBurst = Entry.Limit.Burst;
  return Grant;
}

void lending_machine::answer(const shares_requested &Event,
                             const share_request &Request,
                             std::vector<addressed_grants> &Out, instant Now) {
  const auto Found = Accounts.find(Request.Account);
  if (Found == Accounts.end())
    return;
  const account_entry &Entry = Found->second;
  const auto Term = Terms.find(Entry.Shard);
  if (Term == Terms.end() || !owns(Event.Fleet.Ownership, Entry.Shard, Now))
    return;
  const epoch Epoch = Term->second.Epoch;
  share_request Settled = Request;
  if (Request.Epoch != Epoch) {
    Settled.DeadBelow = {};
    Settled.Returned = 0;
  }
  lending_pool &Pool = poolOf(Entry, Request.Pool, Term->second);
  const share_grant Grant = Pool.lend(
      Event.Borrower, Settled, Event.Batch.SentAt,
      policyFor(Event, Entry, Request.Pool), Options.holdOf(Request.Pool), Now);
  batchFor(Out, Event.Borrower, Event.Batch.SentAt)
      .Batch.Grants.push_back(complete(Grant, Entry, Request.Pool, Epoch));
  if (Request.Pool == pool_kind::Reserve)
    return;
  for (const share_change &Change : Pool.rebalance(RecallPause, Now))
    batchFor(Out, Change.Borrower, Change.RequestedAt)
        .Batch.Grants.push_back(
            complete(Change.Grant, Entry, Request.Pool, Epoch));
}

} // namespace peridot
