/// \file
/// Allocator's side of the fleet-wide limits: runs at the owner of a shard and
/// grants shares from the pools of its accounts.
#pragma once

#include <span>
#include <unordered_map>

#include "coordination/limits/share_pool.h"
#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/ownership_view.h"

namespace peridot {

/// The accounts of the configuration in force.
struct accounts_configured {
  std::span<const limited_account> Accounts;
};

/// This VM's current view of shard ownership and fleet members.
struct fleet_observed {
  const ownership_view &Ownership;
  std::span<const member> Members;
};

/// A batch of requests was received from a holder.
struct shares_requested {
  vm_incarnation Holder;
  const share_request_batch &Batch;
  fleet_observed Fleet;
};

using allocator_event =
    std::variant<accounts_configured, fleet_observed, shares_requested>;

/// A batch of grants and the holder to send it to.
struct addressed_grants {
  vm_name Holder;
  share_grant_batch Batch;
};

/// Allocates shares of the accounts whose shards this VM owns.
class share_allocator {
public:
  share_allocator(vm_incarnation Self, share_options Options)
      : Self(std::move(Self)), Options(Options) {}

  /// Returns the grants and recalls to send. Only shares_requested yields any.
  std::vector<addressed_grants> handle(const allocator_event &Event,
                                       instant Now);

  /// Number of pools that this VM allocates from, for operators.
  std::size_t poolCount() const { return Pools.size(); }

private:
  /// A term of this VM as owner of a shard.
  struct shard_term {
    epoch Epoch;
    instant ActingSince;
  };
  struct account_entry {
    limited_account Limit;
    shard_number Shard;
  };
  struct pool_key {
    account_id Account;
    pool_kind Pool = pool_kind::Main;
    auto operator<=>(const pool_key &) const = default;
  };

  void apply(const accounts_configured &Event, instant Now);
  void apply(const fleet_observed &Event, instant Now);
  std::vector<addressed_grants> apply(const shares_requested &Event,
                                      instant Now);
  void handleRequest(const shares_requested &Event,
                     const share_request &Request,
                     std::vector<addressed_grants> &Out, instant Now);
  split_policy policyFor(const shares_requested &Event,
                         const account_entry &Entry, pool_kind Pool) const;
  share_pool &getOrCreatePool(const account_entry &Entry, pool_kind Pool,
                              const shard_term &Term);
  void dropPools(shard_number Shard);
  share_grant completeGrant(share_grant Grant, const account_entry &Entry,
                            pool_kind Pool, epoch Epoch) const;

  /// Identifies the latest batch received from a VM.
  struct received_batch {
    incarnation Incarnation;
    std::uint64_t Sequence = 0;
    auto operator<=>(const received_batch &) const = default;
  };

  bool isActingOwner(const ownership_view &Ownership, shard_number Shard,
                     instant Now) const;

  vm_incarnation Self;
  share_options Options;
  std::unordered_map<account_id, account_entry> Accounts;
  std::unordered_map<shard_number, shard_term> Terms;
  std::map<pool_key, share_pool> Pools;
  /// Shard of each pool, including pools of accounts that are no longer in the
  /// configuration.
  std::map<pool_key, shard_number> PoolShards;
  /// Used to drop outdated and repeated batches.
  std::unordered_map<vm_name, received_batch> LatestBatches;
};

} // namespace peridot
