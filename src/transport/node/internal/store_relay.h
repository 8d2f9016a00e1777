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
  void report(instant Now);
  void receive(const peer_hello &Sender, bytes_view Body);
  void on(const vm_name &Sender, const store_changes &Changes);
  void on(const vm_name &Sender, const watcher_report &Report);
  void on(const vm_name &Sender, const confirmation_request &Request);
  void on(const vm_name &Sender, const confirmation_response &Confirmation);
  void sendConfirmation(const vm_name &Requester, std::uint64_t Number,
                        instant StartedAt);
  void confirmFromStore();
  std::uint64_t revisionInForce() const;
  /// Reads the configuration if a watcher has had a higher version for a tick.
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
  bool IsWatcher = true;
  /// Whether the last report described the store as reachable.
  bool ReportedReachable = false;
  unsigned TicksToReport = 0;
  /// Highest version of the configuration that a watcher reported.
  std::uint64_t PeerRevision = 0;
  /// PeerRevision at the last tick.
  std::uint64_t ExpectedRevision = 0;
  std::uint64_t LastRequestNumber = 0;
  std::optional<pending_request> PendingRequest;
  timer_subscription Timer;
  timer_subscription RequestTimer;
};

} // namespace peridot
