/// \file
/// Distributes configurations and platform reports between VMs: connects the
/// state machines of coordination/rollout to the platform and the peer links.
#pragma once

#include <optional>

#include "coordination/rollout/freshness_machine.h"
#include "coordination/rollout/pending_requests.h"
#include "coordination/rollout/pull_machine.h"
#include "coordination/rollout/watcher_choice.h"
#include "transport/node/internal/rollout_store.h"

namespace peridot {

/// Runs on the control thread.
class rollout_driver {
public:
  explicit rollout_driver(control_context &Context);

  void start();
  revision inForce() const { return Store.inForce(); }
  /// Whether the keys are fresh at \p Now, and why.
  freshness_verdict freshness(instant Now) const;
  /// Whether this VM currently watches the platform.
  bool isWatchingPlatform() const { return IsWatchingPlatform; }

private:
  // Calls to the platform.
  task<void> watchPlatform();
  /// Returns whether this VM must watch the platform now. Starts a watcher
  /// tenure if this VM takes over from silent watchers.
  bool updateWatcherRole();
  task<result<void>> callPlatform();
  /// Reads the documents of \p Manifest and puts its configuration in force.
  task<result<void>> load(configuration_manifest Manifest);
  task<result<void>> fetchDocument(std::string Digest);

  // Messages to and from peers.
  void send(const vm_name &Peer, const rollout_message &Message);
  void receive(const peer_hello &Sender, bytes_view Body);
  /// Requests platform reports from the upstream peers; also from all
  /// heartbeat peers if the keys are about to become stale.
  void pollUpstreamPeers(instant Now);
  /// Announces the revision in force to the heartbeat peers.
  void announce();
  std::vector<vm_name> heartbeatPeers() const;
  void handleReportedRevision(const vm_name &Peer, revision Revision);
  void perform(const pull_effect &Effect);
  void on(const vm_name &Peer, const rollout_request &Message);
  void on(const vm_name &Peer, const rollout_response &Message);
  void on(const vm_name &Peer, const manifest_request &Message);
  void on(const vm_name &Peer, const manifest_response &Message);
  void on(const vm_name &Peer, const documents_request &Message);
  void on(const vm_name &Peer, const document_response &Message);

  result<void> accept(const configuration_manifest &Manifest);
  void updateFreshness();
  rollout_watcher_context watcherContext() const;

  control_context &Context;
  rollout_store Store;
  freshness_machine Freshness;
  pull_machine Pull;
  pending_requests PendingRequests;
  rollout_watcher_options WatcherOptions;
  /// End of the tenure of a VM that took over as watcher.
  instant WatchUntil{};
  bool IsWatchingPlatform = false;
  revision PlatformRevision;
  std::uint64_t WatchedVersion = 0;
  timer_subscription FreshnessTimer;
  timer_subscription UpstreamPollTimer;
};

} // namespace peridot
