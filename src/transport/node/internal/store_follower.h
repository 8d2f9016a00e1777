/// \file
/// Follows the collections of the platform's store.
#pragma once

#include <array>
#include <functional>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "coordination/registry/collection_sync.h"
#include "coordination/registry/target_registry.h"
#include "coordination/registry/types/store_messages.h"
#include "transport/node/control_context.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Runs on the control thread. Keeps configuration and targets of the snapshot
/// and the freshness of the keys up to date, from the store or from what other
/// VMs have read of it.
class store_follower {
public:
  using vms_callback = std::function<void(const store_items &, bool IsList)>;
  using changes_callback = std::function<void(const store_changes &)>;
  /// Gets when the read began, or nothing when it failed.
  using confirmation_callback = std::function<void(std::optional<instant>)>;

  /// \param OnVms gets what is read of the VMs' entries.
  /// \param OnChanges gets what the watches of this VM bring.
  store_follower(node_services &Services, fleet_store &Store,
                 vms_callback OnVms, changes_callback OnChanges);

  void start();
  /// Whether this VM watches configuration and targets itself.
  void setReading(bool Reads);
  /// Takes changes that another VM has read.
  void take(const store_changes &Changes);
  /// Another VM has read this far.
  void othersReached(fleet_collection Collection, std::uint64_t Position);
  /// Time between two looks for the store while it does not answer.
  void setLookPeriod(duration Period);
  /// The store answers others again: this VM looks at once.
  void lookNow();
  /// Other VMs say that the store is away.
  void storeAwayForOthers();
  std::uint64_t position(fleet_collection Collection) const {
    return syncOf(Collection).position();
  }

  /// Reads the configuration, which confirms the keys; calls at the same time
  /// share one read.
  void confirmKeys(confirmation_callback Callback);
  /// The keys were confirmed by a read that began at \p StartedAt.
  void keysConfirmed(instant StartedAt);
  /// Begin of the last read that confirmed the keys.
  instant confirmedAt() const { return ConfirmedAt; }
  bool storeAnswers() const { return Reachable; }

private:
  task<void> follow(fleet_collection Collection);
  /// One call; false when it failed.
  task<bool> act(fleet_collection Collection, const sync_step &Step);
  task<void> readConfiguration();
  task<void> catchUp(fleet_collection Collection);
  /// Waits until this VM has to ask the store about a collection.
  task<void> awaitTurn(fleet_collection Collection);
  bool hasTurn(fleet_collection Collection) const;
  void compareWithOthers();

  void apply(fleet_collection Collection, const store_items &Items,
             bool IsList);
  void applyConfiguration(const store_items &Items);
  void applyTargets(const store_items &Items, bool IsList);
  void noteCall(bool Succeeded);
  void noteUnreadable(const store_item &Item,
                      const unreadable_content &Content);
  void publishTargets();

  node_services &Services;
  fleet_store &Store;
  const collection_sync &syncOf(fleet_collection Collection) const {
    return Sync[static_cast<std::size_t>(Collection)];
  }
  collection_sync &syncOf(fleet_collection Collection) {
    return Sync[static_cast<std::size_t>(Collection)];
  }

  vms_callback OnVms;
  changes_callback OnChanges;
  std::array<collection_sync, 3> Sync;  ///< By fleet_collection.
  std::array<bool, 3> Watching{};       ///< A watch is under way.
  boost::asio::steady_timer TurnChange; ///< Cancelled when turns change.
  boost::asio::steady_timer LookDelay;  ///< Before the next look for the store.
  target_registry Targets;
  bool Reads = true;
  bool Reachable = false;
  instant ConfirmedAt{};
  std::vector<confirmation_callback> Confirming; ///< Wait for one read.
  timer_subscription ExpiryTimer;
  timer_subscription CompareTimer;
};

} // namespace peridot
