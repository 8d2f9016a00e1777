/// \file
/// Shard ownership of one VM: leases, claims, takeover and handover.
#pragma once

#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/ownership/takeover_evidence.h"
#include "coordination/ownership/types/ownership_events.h"
#include "coordination/ownership/witness_promises.h"
#include "coordination/ownership/witness_selector.h"

namespace peridot {

struct ownership_options {
  vm_incarnation Self;
  lease_options Lease;
  /// Seed of the random retry backoff and of the choice of the peer to request
  /// a map copy from.
  std::uint64_t Seed = 0;
};

/// Decides which shards this VM claims and releases; the driver sends the
/// messages and reads and writes the shard map. docs/design.md proves that two
/// incarnations never act for one shard at the same time.
class ownership_machine {
public:
  using effects = std::vector<ownership_effect>;

  explicit ownership_machine(ownership_options Options);

  /// Processes \p Event and returns the effects that the driver performs.
  effects handle(const ownership_event &Event, instant Now);

  /// Returns when this VM's lease expires, under the recorded witnesses and
  /// under those of each write that may still take effect.
  instant leaseExpiresAt(instant Now) const;
  /// Whether this VM may act as the owner of \p Shard at \p Now.
  bool mayAct(shard_number Shard, instant Now) const;
  /// Returns the shards that this VM owns and has not released, with the time
  /// at which its lease expires.
  std::unordered_map<shard_number, instant> actingUntil(instant Now) const;
  /// Returns the map that was read last; before the first read, a peer's copy.
  const shard_map &map() const { return Map; }
  /// Version of the map that was read last; 0 before the first read.
  std::uint64_t mapVersion() const { return MapVersion; }
  /// Version of map(), which may be a peer's copy.
  std::uint64_t knownMapVersion() const {
    return HasReadMap ? MapVersion : PeerCopyVersion;
  }

private:
  /// A map write that may still take effect, with the witnesses it records.
  struct pending_write {
    std::uint64_t ExpectedVersion = 0;
    witness_set Witnesses;
    shard_map Map;
  };

  /// Release of a shard term that the successor has not claimed yet.
  struct handover {
    vm_name Successor;
    instant StartedAt;
  };

  void accept(const member_list_updated &Event, instant Now);
  void accept(const shard_map_read &Event, instant Now);
  void accept(const shard_map_write_ended &Event, instant Now);
  void accept(const lease_message_received &Event, instant Now);
  void accept(const lease_tick &Event, instant Now);
  void accept(const leave_started &Event, instant Now);

  void onMessage(const vm_incarnation &Sender, const lease_request &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const lease_response &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const lease_lapse &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const lapse_request &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const shard_release &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const map_request &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const map_response &Message,
                 instant Now);

  // Owner.
  /// Requests lease confirmations if this VM owns or may claim shards.
  void requestConfirmations(instant Now);
  /// Reports the loss of the lease and decides whether the shards should be
  /// released because of it.
  void updateLeaseState(instant Now);
  /// Claims all claimable shards and replaces witnesses that need replacement,
  /// in one write.
  void writeMapIfDue(instant Now);
  std::vector<shard_number> claimableShards(instant Now);
  bool isClaimable(shard_number Shard, instant Now);
  /// Whether this VM may claim a shard whose owner can never act for it again.
  /// The chosen successor may do so at once, other VMs one lease length later.
  bool mayClaimBlockedShard(shard_number Shard, const shard_ownership &Row,
                            instant Now);
  bool shouldRewriteWitnesses(std::span<const vm_incarnation> Proposed,
                              instant Now) const;
  /// Whether \p Proposed is complete, or witnesses have been too few for longer
  /// than a request period and at least one is available.
  bool hasEnoughWitnesses(std::span<const vm_incarnation> Proposed,
                          instant Now);
  void writeMap(std::span<const shard_number> Claims,
                const witness_set &Witnesses, instant Now);
  void releaseTo(shard_number Shard, const vm_name &Successor,
                 release_cause Cause, instant Now);
  void releaseAll(release_cause Cause, instant Now);
  /// Releases shards to their preferred owners if this VM owns more than about
  /// twice its fair share.
  void rebalance(instant Now);
  /// Sends pending releases to their successors again.
  void resendReleases(instant Now);

  // Witness and successor.
  /// Reports owners whose promise has lapsed to the successors of their shards.
  void reportLapsedLeases(instant Now);
  /// Requests lapse reports from the owners and witnesses of the shards that
  /// this VM would take over.
  void probeOwners(instant Now);
  /// Plans to take over the shards of \p Owner and reads the map first.
  void startTakeover(const vm_incarnation &Owner);
  /// Requests the witnesses of the planned takeovers to refuse the owners for
  /// good.
  void requestFinalLapses(instant Now);

  /// Requests a random peer's copy of the map.
  void requestMapCopy(instant Now);
  void adoptMap(std::uint64_t Version, shard_map Adopted);
  /// Drops obsolete evidence and handovers and reports newly claimed shards.
  void processOwnershipChanges(const shard_map &Before);
  bool ownsShard(shard_number Shard) const;
  bool isHandedOver(shard_number Shard) const;
  std::vector<shard_number> ownedShards() const;
  witness_set recordedWitnesses() const;
  std::size_t desiredWitnessCount() const;
  void send(const vm_name &Peer, lease_message Message);

  ownership_options Options;
  std::minstd_rand Random;
  std::vector<member> Members;
  fleet_history History;
  owner_lease Lease;
  witness_promises Promises;
  witness_selector Selector;
  takeover_evidence Evidence;

  bool HasReadMap = false;
  std::uint64_t MapVersion = 0;
  std::uint64_t PeerCopyVersion = 0; ///< 0: no peer's copy was received.
  shard_map Map;
  std::vector<pending_write> Pending;
  bool IsWriteInProgress = false;
  bool NeedsMapRead = true;
  instant NextMapRead;
  instant NextMapCopyRequest;
  instant NextWrite;
  instant NextWitnessRewrite;
  instant NextConfirmationRequest;
  instant NextRebalance;
  instant NextProbe;
  duration RetryBackoff;
  instant TooFewWitnessesSince; ///< Zero while there are enough witnesses.
  bool WasLeaseHeld = false;
  instant LastHeldAt; ///< Last time with a valid lease or without own shards.
  bool ShouldReleaseShards = false; ///< Lease lost for over one lease length.
  bool IsLeaving = false;
  std::map<shard_term, handover> Handovers;
  /// First time at which an owner was found unable to act ever again.
  std::map<vm_incarnation, instant> BlockedSince;
  std::set<vm_incarnation> OwnersToTakeOver; ///< Takeovers waiting for the map.
  effects Effects;
};

} // namespace peridot
