/// \file
/// Shares within a data centre what its watchers read from the platform's
/// store.
#pragma once

#include <span>

#include "coordination/registry/store_availability.h"
#include "coordination/registry/watcher_election.h"
#include "transport/node/control_context.h"

namespace peridot {

class store_follower;

/// Runs on the control thread. Sends the changes that this VM reads to its
/// local peers, passes received changes to the store_follower, and requests key
/// confirmations from watchers.
class store_relay {
public:
  store_relay(node_services &Services, store_follower &Follower);

  void start();
  /// Replaces the VMs of the data centre, largest spare capacity first.
  void setRanking(std::span<const vm_name> Ranked);
  /// Relays changes from this VM's own watch to its local peers.
  void relay(const store_changes &Changes);
  /// Reports at once that this VM has read something that it does not relay.
  void reportRead();
  /// Whether another VM watches the store and reaches it.
  bool hasWatchers() const;
  /// Whether other VMs check the store and none of them reaches it.
  bool isOutageReported() const;
  /// Requests a snapshot from a watcher. \returns false if there is no VM to
  /// ask.
  bool requestSnapshot(fleet_collection Collection);
  /// Confirms the keys through a watcher, or from the store if there is none.
  void confirmKeys();

private:
  /// A confirmation request to a watcher that has no response yet.
  struct pending_request {
    std::uint64_t Number = 0;
    instant SentAt{};
  };

  void tick(instant Now);
  /// Starts or stops watching the store.
  void updateRole(instant Now);
  /// Tells the follower since when the store has been available to this VM or a
  /// watcher.
  void updateAvailability(instant Now);
  /// Whether the store is reachable and the last confirmation of the keys is
  /// younger than MaxResponseAge.
  bool hasRecentResponse(instant Now) const;
  /// Whether this VM has become a watcher and does not know yet whether it
  /// reaches the store.
  bool isFirstResponsePending(instant Now) const;
  void report(instant Now);
  void receive(const peer_hello &Sender, bytes_view Body);
  void on(const vm_name &Sender, const store_changes &Changes);
  void on(const vm_name &Sender, const watcher_report &Report);
  void on(const vm_name &Sender, const confirmation_request &Request);
  void on(const vm_name &Sender, const confirmation_response &Confirmation);
  void on(const vm_name &Sender, const snapshot_request &Request);
  void on(const vm_name &Sender, const store_snapshot &Snapshot);
  void sendConfirmation(const vm_name &Requester, std::uint64_t Number,
                        instant StartedAt);
  void confirmFromStore();
  std::uint64_t revisionInForce() const;
  /// Reads the configuration if a watcher has had a higher version for some
  /// ticks.
  void compareRevision();
  void send(const vm_name &Peer, const store_message &Message);
  void sendToAll(const store_message &Message);

  node_services &Services;
  store_follower &Follower;
  watcher_election Election;
  store_availability Availability;
  /// Last confirmation of the keys that Availability knows.
  instant LastConfirmedAt{};
  std::vector<vm_name> LocalPeers;
  bool IsWatcher = false;
  instant WatcherSince{}; ///< When IsWatcher last changed.
  /// Whether the last report described the store as reachable.
  bool ReportedReachable = false;
  unsigned TicksToReport = 0;
  /// Highest version of the configuration that a watcher reported.
  std::uint64_t PeerRevision = 0;
  /// PeerRevision at the last tick.
  std::uint64_t ExpectedRevision = 0;
  /// Number of ticks for which PeerRevision has been above the own version.
  unsigned TicksBehind = 0;
  /// When this VM last read the store to confirm the keys.
  instant LastConfirmationAt{};
  /// Counts snapshot requests, which go to the watchers in turn.
  std::size_t NextAsked;
  std::uint64_t LastRequestNumber = 0;
  std::optional<pending_request> PendingRequest;
  timer_subscription Timer;
  timer_subscription RequestTimer;
  timer_subscription RoleTimer;
};

} // namespace peridot
