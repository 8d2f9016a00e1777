/// \file
/// Who owns which shard: leases, claims, takeover and handover of one VM.
#pragma once

#include <map>
#include <random>
#include <set>
#include <unordered_map>
#include <vector>

#include "coordination/ownership/takeover_evidence.h"
#include "coordination/ownership/types/ownership_events.h"
#include "coordination/ownership/witness_promises.h"
#include "coordination/ownership/witness_recruiting.h"

namespace peridot {

struct ownership_options {
  vm_incarnation Self;
  lease_options Lease;
  std::uint64_t Seed = 0; ///< Of the random waits before retries.
};

/// Decides; the driver sends, reads and writes. See docs/design.md for the
/// proof that two incarnations never act for one shard.
class ownership_machine {
public:
  using effects = std::vector<ownership_effect>;

  explicit ownership_machine(ownership_options Options);

  effects handle(const ownership_event &Event, instant Now);

  /// Until when this VM may act for its shards.
  instant leaseUntil(instant Now) const;
  /// True if this VM may act as the owner of \p Shard at \p Now.
  bool mayAct(shard_number Shard, instant Now) const;
  /// Shards that this VM owns and has not released, with the lease's end.
  std::unordered_map<shard_number, instant> actingUntil(instant Now) const;
  /// The map that was read last; a peer's copy as long as none was read.
  const shard_map &map() const { return Map; }
  /// Version of the map that was read last; 0 while none was read.
  std::uint64_t mapVersion() const { return MapVersion; }
  /// Version of map(), read or heard of.
  std::uint64_t shownVersion() const {
    return MapIsKnown ? MapVersion : HeardVersion;
  }

private:
  /// A write that may still take effect, with the witnesses it records.
  struct pending_write {
    std::uint64_t Expected = 0;
    witness_set Witnesses;
    shard_map Map;
  };

  struct handover {
    vm_name Successor;
    instant At;
  };

  void accept(const fleet_listed &Event, instant Now);
  void accept(const shard_map_read &Event, instant Now);
  void accept(const shard_map_write_ended &Event, instant Now);
  void accept(const lease_message_received &Event, instant Now);
  void accept(const lease_tick &Event, instant Now);
  void accept(const leave_started &Event, instant Now);

  void onMessage(const vm_incarnation &Sender, const lease_question &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const lease_answer &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const lease_lapse &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const lapse_request &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const shard_release &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const map_question &Message,
                 instant Now);
  void onMessage(const vm_incarnation &Sender, const map_answer &Message,
                 instant Now);

  // Owner.
  void askWitnesses(instant Now);
  void noteLease(instant Now);
  /// Claims what may be claimed and exchanges failing witnesses, in one write.
  void writeIfDue(instant Now);
  std::vector<shard_number> claimable(instant Now);
  bool isClaimable(shard_number Shard, instant Now);
  bool mayClaimBlocked(shard_number Shard, const shard_ownership &Row,
                       instant Now);
  bool witnessesNeedRewrite(std::span<const vm_incarnation> Proposed,
                            instant Now) const;
  bool isEnough(std::span<const vm_incarnation> Proposed, instant Now);
  void write(std::span<const shard_number> Claims, const witness_set &Witnesses,
             instant Now);
  void releaseTo(shard_number Shard, const vm_name &Successor,
                 release_cause Cause, instant Now);
  void releaseAll(release_cause Cause, instant Now);
  void rebalance(instant Now);
  void repeatReleases(instant Now);

  // Witness and candidate.
  void reportLapses(instant Now);
  /// Asks about owners whose shards this VM would take over.
  void probeOwners(instant Now);
  void takeOver(const vm_incarnation &Owner);
  void requestLapses(instant Now);

  /// Asks one peer for its copy of the map.
  void askForMap(instant Now);
  void adopt(std::uint64_t Version, shard_map Adopted);
  void noteOwnChanges(const shard_map &Before);
  bool isOwn(shard_number Shard) const;
  bool isHandedOver(shard_number Shard) const;
  std::vector<shard_number> ownShards() const;
  witness_set recordedWitnesses() const;
  std::size_t wantedWitnesses() const;
  void send(const vm_name &Peer, lease_message Message);

  ownership_options Options;
  std::minstd_rand Random;
  std::vector<member> Members;
  fleet_history History;
  owner_lease Lease;
  witness_promises Promises;
  witness_recruiting Recruiting;
  takeover_evidence Evidence;

  bool MapIsKnown = false;
  std::uint64_t MapVersion = 0;
  std::uint64_t HeardVersion = 0;
  shard_map Map;
  std::vector<pending_write> Pending;
  bool WriteIsRunning = false;
  bool NeedsRead = true;
  instant NextRead;
  instant NextMapQuestion;
  instant NextWrite;
  instant NextExchange;
  instant NextAsk;
  instant NextRebalance;
  instant NextProbe;
  duration RetrySpread;
  instant ShortSince; ///< Since when witnesses are too few; zero: they are not.
  bool HeldLease = false;
  instant LapsedSince;
  bool Resigning = false; ///< The lease has been lost for long.
  bool Leaving = false;
  std::map<shard_term, handover> Handovers;
  std::map<vm_incarnation, instant> BlockedSince;
  std::set<vm_incarnation> Candidates; ///< Owners whose shards are wanted.
  effects Effects;
};

} // namespace peridot
