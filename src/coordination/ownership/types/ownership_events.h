/// \file
/// What the ownership machine is told and what it asks for.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>

#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/lease_messages.h"

namespace peridot {

/// The list of VMs, corrected by membership, was renewed.
struct fleet_listed {
  std::span<const member> Members;
};

/// The platform answered a read of the shard map.
struct shard_map_read {
  std::uint64_t Version = 0; ///< 0: there is no map yet.
  shard_map Map;
};

enum class write_outcome {
  Written,
  Conflict, ///< Another write came first.
  Unknown,  ///< No answer; the write may have taken effect or still will.
};

/// The write that was asked for last has ended.
struct shard_map_write_ended {
  write_outcome Outcome = write_outcome::Unknown;
  std::uint64_t Version = 0; ///< The new version, if written.
};

struct lease_message_received {
  vm_incarnation Sender;
  lease_message Message;
};

/// Time has passed; due several times in each ask period.
struct lease_tick {};

/// This VM is leaving and hands its shards over.
struct leave_started {};

using ownership_event =
    std::variant<fleet_listed, shard_map_read, shard_map_write_ended,
                 lease_message_received, lease_tick, leave_started>;

struct send_lease_message {
  vm_name Peer;
  lease_message Message;
};

struct read_shard_map {};

/// Write \p Map if the platform's version is still \p Expected.
struct write_shard_map {
  std::uint64_t Expected = 0;
  shard_map Map;
};

/// This VM is recorded as the owner of a new term.
struct shard_claimed {
  shard_term Term;
  vm_incarnation Before; ///< Empty name if the shard had no owner.
};

enum class release_cause { Leaving, LeaseLost, UnevenSpread };

/// This VM has stopped acting for a term in favour of \p Successor.
struct shard_released {
  shard_term Term;
  vm_name Successor;
  release_cause Cause = release_cause::Leaving;
};

/// The witnesses did not confirm in time: this VM does not act any more.
struct lease_lost {
  std::size_t Shards = 0;
};

using ownership_effect =
    std::variant<send_lease_message, read_shard_map, write_shard_map,
                 shard_claimed, shard_released, lease_lost>;

} // namespace peridot
