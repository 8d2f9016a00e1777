/// \file
/// Who owns which shard of accounts and services, as the platform records it.
#pragma once

#include <array>
#include <optional>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Accounts and services hash to this many shards. Fixed for a fleet's life.
inline constexpr std::size_t ShardCount = 256;

/// One shard's owner in one term.
struct shard_ownership {
  vm_incarnation Owner;
  epoch Epoch;
  /// Peers in different data centres that confirm the owner's lease.
  std::vector<vm_incarnation> Witnesses;

  bool operator==(const shard_ownership &) const = default;
};

/// Owners by shard; a shard without an owner is empty.
struct shard_map {
  std::array<std::optional<shard_ownership>, ShardCount> Shards;

  const std::optional<shard_ownership> &at(shard_number Shard) const {
    return Shards[Shard.Value % ShardCount];
  }
  bool operator==(const shard_map &) const = default;
};

/// The shard that an account belongs to.
shard_number shardOf(const account_name &Account);
/// The shard that a service belongs to.
shard_number shardOf(const service_name &Service);

} // namespace peridot
