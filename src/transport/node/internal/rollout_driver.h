/// \file
/// Spreads configurations and news of the platform between VMs: connects the
/// machines of coordination/rollout to the platform and the peer links.
#pragma once

#include <optional>

#include "coordination/rollout/feeder_choice.h"
#include "coordination/rollout/freshness_machine.h"
#include "coordination/rollout/pull_machine.h"
#include "coordination/rollout/question_log.h"
#include "transport/node/internal/rollout_store.h"

namespace peridot {

/// Runs on the control thread.
class rollout_driver {
public:
  explicit rollout_driver(control_context &Context);

  void start();
  revision inForce() const { return Store.inForce(); }
  freshness_verdict freshness(instant Now) const;
  /// True while this VM watches the platform.
  bool feeds() const { return Feeds; }

private:
  // Towards the platform.
  task<void> watchPlatform();
  bool needsPlatform();
  task<result<void>> callPlatform();
  task<result<void>> load(configuration_manifest Manifest);
  task<result<void>> fetchDocument(std::string Digest);

  // Towards peers.
  void send(const vm_name &Peer, const rollout_message &Message);
  void receive(const peer_hello &Sender, bytes_view Body);
  void askInformants(instant Now);
  void announce();
  std::vector<vm_name> neighbours() const;
  void hearRevision(const vm_name &Peer, revision Revision);
  void run(const pull_effect &Effect);
  void on(const vm_name &Peer, const rollout_ask &Message);
  void on(const vm_name &Peer, const rollout_answer &Message);
  void on(const vm_name &Peer, const manifest_wanted &Message);
  void on(const vm_name &Peer, const manifest_offered &Message);
  void on(const vm_name &Peer, const documents_wanted &Message);
  void on(const vm_name &Peer, const document_offered &Message);

  result<void> accept(const configuration_manifest &Manifest);
  void updateFreshness();
  feeder_position position() const;

  control_context &Context;
  rollout_store Store;
  freshness_machine Freshness;
  pull_machine Pull;
  question_log Questions;
  feeder_options Feeding;
  /// A VM that stepped in as feeder stays one until then.
  instant FeedsUntil{};
  bool Feeds = false;
  revision PlatformRevision;
  std::uint64_t WatchedVersion = 0;
  timer_subscription FreshnessTimer;
  timer_subscription AskTimer;
};

} // namespace peridot
