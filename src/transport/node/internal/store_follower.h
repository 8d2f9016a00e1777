/// \file
/// Keeps local copies of the collections in the platform's store up to date.
#pragma once

#include <array>
#include <functional>
#include <optional>

#include <boost/asio/steady_timer.hpp>

#include "coordination/registry/collection_sync.h"
#include "coordination/registry/types/store_messages.h"
#include "transport/node/control_context.h"
#include "transport/node/internal/target_publisher.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Runs on the control thread. Updates the configuration and targets of the
/// routing snapshot and the freshness of the keys, from the store itself or
/// from changes that other VMs relay.
class store_follower {
public:
  using vms_callback = std::function<void(const store_items &, bool IsList)>;
  using changes_callback = std::function<void(const store_changes &)>;
  /// Called after a read that is not relayed brought new data.
  using read_callback = std::function<void()>;
  /// Receives the start time of the read; empty if it failed.
  using confirmation_callback = std::function<void(std::optional<instant>)>;

  /// \param OnVms receives the VM entries that were read.
  /// \param OnChanges receives the results of this VM's own watches.
  store_follower(node_services &Services, fleet_store &Store,
                 vms_callback OnVms, changes_callback OnChanges,
                 read_callback OnRead);

  void start();
  /// Sets whether this VM watches configuration and targets itself.
  void setWatching(bool ShouldWatch);
  /// Applies changes that another VM has read.
  void applyRelayed(const store_changes &Changes);
  /// Records that another VM has read up to \p Position.
  void recordPeerPosition(fleet_collection Collection, std::uint64_t Position);
  /// Sets the maximum delay between calls while the store is unreachable.
  void setMaxRetryDelay(duration Delay);
  /// Retries at once, because the store is reachable for other VMs again.
  void retryNow();
  /// Sets since when the store has been available to at least one known VM;
  /// empty: it is available to none.
  void setStoreAvailableSince(std::optional<instant> Since, instant Now) {
    Targets.setStoreAvailableSince(Since, Now);
  }
  /// Treats the store as unreachable, because other VMs reported it as such.
  void setStoreUnreachable();
  std::uint64_t position(fleet_collection Collection) const {
    return syncOf(Collection).position();
  }

  /// Reads the configuration, which confirms the keys. Concurrent calls share
  /// one read.
  void confirmKeys(confirmation_callback Callback);
  /// Records that a read that started at \p StartedAt confirmed the keys.
  void updateKeysConfirmedAt(instant StartedAt);
  /// Returns the start time of the last read that confirmed the keys.
  instant keysConfirmedAt() const { return KeysConfirmedAt; }
  bool isStoreReachable() const { return IsReachable; }

private:
  /// Lists and watches a collection; never returns.
  task<void> follow(fleet_collection Collection);
  /// Makes one call to the store. Returns false if it failed.
  task<bool> execute(fleet_collection Collection, const sync_step &Step);
  task<void> readConfiguration();
  /// Lists a collection while a watch on it is still open.
  task<void> catchUp(fleet_collection Collection);
  /// Waits until shouldQuery() holds for a collection.
  task<void> waitUntilQueryNeeded(fleet_collection Collection);
  /// Whether this VM itself has to call the store for a collection.
  bool shouldQuery(fleet_collection Collection) const;
  /// Lists a collection if changes that other VMs have read did not arrive.
  void compareWithPeers();
  /// Records that the history of the store reaches \p Position.
  void recordStorePosition(std::uint64_t Position);
  /// Marks the targets for a list if the store has changes that the watches of
  /// this VM did not deliver.
  void compareWithStore();

  void apply(fleet_collection Collection, const store_items &Items,
             bool IsList);
  /// \returns whether a newer configuration came into force.
  bool applyConfiguration(const store_items &Items);
  void updateReachability(bool Succeeded);
  void reportUnreadable(const store_item &Item,
                        const unreadable_content &Content);

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
  read_callback OnRead;
  std::array<collection_sync, 3> Sync; ///< Indexed by fleet_collection.
  std::array<bool, 3> IsWatching{};    ///< Whether a watch is open.
  /// Position of the store at the last read of the configuration.
  std::uint64_t StorePosition = 0;
  /// StorePosition at the last comparison.
  std::uint64_t ExpectedStorePosition = 0;
  /// Never expires; cancelled when the result of shouldQuery() may change.
  boost::asio::steady_timer WakeTimer;
  /// Delay before the next call while the store is unreachable.
  boost::asio::steady_timer RetryTimer;
  target_publisher Targets;
  bool IsWatcher = true;
  bool IsReachable = false;
  instant KeysConfirmedAt{};
  /// Callbacks that wait for the same read.
  std::vector<confirmation_callback> PendingConfirmations;
  timer_subscription CompareTimer;
};

} // namespace peridot
