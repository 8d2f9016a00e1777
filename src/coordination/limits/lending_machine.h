/// \file
/// Owner's side of the fleet-wide limits: which requests for shares to answer,
/// and out of which pools.
#pragma once

#include <span>
#include <unordered_map>

#include "coordination/limits/lending_pool.h"
#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/ownership_view.h"

namespace peridot {

/// The accounts of the configuration in force.
struct accounts_configured {
  std::span<const limited_account> Accounts;
};

/// What is known of ownership and members now.
struct fleet_observed {
  const ownership_view &Ownership;
  std::span<const member> Members;
};

/// A batch came from a borrower.
struct shares_requested {
  vm_incarnation Borrower;
  const share_request_batch &Batch;
  fleet_observed Fleet;
};

using lending_event =
    std::variant<accounts_configured, fleet_observed, shares_requested>;

/// A batch to send.
struct addressed_grants {
  vm_name Borrower;
  share_grant_batch Batch;
};

/// Lends shares of the accounts whose shards this VM owns.
class lending_machine {
public:
  lending_machine(vm_incarnation Self, lending_options Options)
      : Self(std::move(Self)), Options(Options) {}

  /// Answers requests and recalls; other events have no answer.
  std::vector<addressed_grants> handle(const lending_event &Event, instant Now);

  /// Pools with what they lent, for the operators.
  std::size_t poolCount() const { return Pools.size(); }

private:
  /// One term of this VM as owner of a shard.
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
  void answer(const shares_requested &Event, const share_request &Request,
              std::vector<addressed_grants> &Out, instant Now);
  split_policy policyFor(const shares_requested &Event,
                         const account_entry &Entry, pool_kind Pool) const;
  lending_pool &poolOf(const account_entry &Entry, pool_kind Pool,
                       const shard_term &Term);
  void dropPools(shard_number Shard);
  share_grant complete(share_grant Grant, const account_entry &Entry,
                       pool_kind Pool, epoch Epoch) const;

  /// The latest batch heard of one VM.
  struct heard_batch {
    incarnation Incarnation;
    std::uint64_t Sequence = 0;
    auto operator<=>(const heard_batch &) const = default;
  };

  bool owns(const ownership_view &Ownership, shard_number Shard,
            instant Now) const;

  vm_incarnation Self;
  lending_options Options;
  std::unordered_map<account_id, account_entry> Accounts;
  std::unordered_map<shard_number, shard_term> Terms;
  std::map<pool_key, lending_pool> Pools;
  /// Shard of each pool, also of accounts that left the configuration.
  std::map<pool_key, shard_number> PoolShards;
  /// Older batches and repeated ones are dropped.
  std::unordered_map<vm_name, heard_batch> Heard;
};

} // namespace peridot
