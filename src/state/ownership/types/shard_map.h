/// \file
/// Owners of the shards of accounts and services, as stored by the platform.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Number of shards to which accounts and services hash. Never changes during a
/// fleet's lifetime.
inline constexpr std::size_t ShardCount = 256;

/// The owner of a shard in one epoch.
struct shard_ownership {
  vm_incarnation Owner;
  epoch Epoch;
  /// VMs in different data centres that confirm the owner's lease.
  std::vector<vm_incarnation> Witnesses;

  bool operator==(const shard_ownership &) const = default;
};

/// Ownership indexed by shard; nullopt for a shard without an owner.
struct shard_map {
  std::array<std::optional<shard_ownership>, ShardCount> Shards;

  const std::optional<shard_ownership> &at(shard_number Shard) const {
    return Shards[Shard.Value % ShardCount];
  }
  bool operator==(const shard_map &) const = default;
};

/// Returns the shard of an account.
shard_number shardOf(const account_name &Account);
/// Returns the shard of a service.
shard_number shardOf(const service_name &Service);

} // namespace peridot
