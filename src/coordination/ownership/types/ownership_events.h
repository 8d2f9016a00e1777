/// \file
/// Events and effects of the ownership machine.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/lease_messages.h"

namespace peridot {

/// The platform's list of VMs, corrected by membership, was updated.
struct member_list_updated {
  std::span<const member> Members;
};

/// A read of the shard map from the platform has succeeded.
struct shard_map_read {
  std::uint64_t Version = 0; ///< 0: no map is stored yet.
  shard_map Map;
};

enum class write_outcome {
  Written,
  Conflict, ///< The stored version was not the expected one.
  Unknown,  ///< No response; the write may take effect at any time.
};

/// The most recently started write of the shard map has ended.
struct shard_map_write_ended {
  write_outcome Outcome = write_outcome::Unknown;
  std::uint64_t Version = 0; ///< New version if Written.
};

struct lease_message_received {
  vm_incarnation Sender;
  lease_message Message;
};

/// Sent by the driver several times in each request period.
struct lease_tick {};

/// This VM has started to leave and must hand its shards over.
struct leave_started {};

using ownership_event =
    std::variant<member_list_updated, shard_map_read, shard_map_write_ended,
                 lease_message_received, lease_tick, leave_started>;

struct send_lease_message {
  vm_name Peer;
  lease_message Message;
};

struct read_shard_map {};

/// Effect: write \p Map if the platform's version is still \p ExpectedVersion.
struct write_shard_map {
  std::uint64_t ExpectedVersion = 0;
  shard_map Map;
};

/// The map records this VM as the owner of a new term.
struct shard_claimed {
  shard_term Term;
  vm_incarnation PreviousOwner; ///< Empty name if the shard had no owner.
};

enum class release_cause { Leaving, LeaseLost, Rebalancing };

/// This VM has stopped acting for a term and releases it to \p Successor.
struct shard_released {
  shard_term Term;
  vm_name Successor;
  release_cause Cause = release_cause::Leaving;
};

/// The witnesses did not confirm in time, so this VM has stopped acting.
struct lease_lost {
  std::size_t Shards = 0; ///< Number of shards that this VM owns.
};

using ownership_effect =
    std::variant<send_lease_message, read_shard_map, write_shard_map,
                 shard_claimed, shard_released, lease_lost>;

} // namespace peridot
