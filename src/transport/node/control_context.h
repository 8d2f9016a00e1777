/// \file
/// Services and views shared by the drivers on the control thread.
#pragma once

#include <functional>
#include <memory>
#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/ownership_view.h"
#include "coordination/routing/types/routing_snapshot.h"
#include "state/journal/decision_journal.h"
#include "transport/callers/traffic_worker.h"
#include "transport/node/types/node_settings.h"
#include "transport/peers/peer_hub.h"
#include "transport/platform/platform_client.h"
#include "transport/runtime/timer_service.h"

namespace peridot {

/// Adds each decision to the journal and writes it to the log.
class decision_recorder {
public:
  /// Sets the time of \p Decision, then logs and stores it.
  void record(decision Decision);
  const decision_journal &journal() const { return Journal; }

private:
  static constexpr std::size_t JournalCapacity = 4096;
  decision_journal Journal{JournalCapacity};
};

/// Edits the routing snapshot and publishes each new version to the traffic
/// threads.
class snapshot_publisher {
public:
  using edit = std::function<void(routing_snapshot &)>;

  explicit snapshot_publisher(
      std::span<const std::unique_ptr<traffic_worker>> Workers)
      : Workers(Workers) {}

  /// Applies \p Edit to a copy of the current snapshot and publishes it.
  void update(const edit &Edit);
  const routing_snapshot &current() const { return *Current; }

private:
  std::span<const std::unique_ptr<traffic_worker>> Workers;
  snapshot_ptr Current = std::make_shared<routing_snapshot>();
};

/// Services of the control thread that every node has, whichever control plane
/// it runs.
struct node_services {
  const node_settings &Settings;
  vm_incarnation Self;
  boost::asio::io_context &Loop;
  timer_service &Timers;
  peer_hub &Peers;
  metrics_registry &Metrics;
  decision_recorder &Decisions;
  snapshot_publisher &Snapshots;
  std::span<const std::unique_ptr<traffic_worker>> Workers;
};

/// Adds what only the drivers of the native control plane share.
struct control_context : node_services {
  platform_client &Platform;
  /// Written by the membership driver, read by the others.
  membership_view &Members;
  /// Written by the ownership driver, read by the others.
  ownership_view &Ownership;
};

} // namespace peridot
