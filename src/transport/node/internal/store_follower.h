/// \file
/// Keeps local copies of the collections in the platform's store up to date.
#pragma once

#include <array>
#include <functional>
#include <optional>
#include <span>

#include <boost/asio/steady_timer.hpp>

#include "coordination/registry/collection_sync.h"
#include "coordination/registry/seen_revisions.h"
#include "coordination/registry/store_reachability.h"
#include "coordination/registry/types/store_messages.h"
#include "transport/node/control_context.h"
#include "transport/node/internal/evacuation_publisher.h"
#include "transport/node/internal/store_archive.h"
#include "transport/node/internal/target_publisher.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// What a store_follower asks and learns of the other VMs of its data centre.
struct follower_peers {
  /// Requests a snapshot of a collection. \returns false if there is no VM to
  /// ask.
  std::function<bool(fleet_collection)> RequestSnapshot;
  /// Whether another VM watches the store and reaches it.
  std::function<bool()> HasWatchers;
  /// Whether other VMs check the store and report that they do not reach it.
  std::function<bool()> IsOutageReported;
};

/// Runs on the control thread. Updates the configuration and targets of the
/// routing snapshot and the freshness of the keys, from the store itself or
/// from changes that other VMs relay.
class store_follower {
public:
  using items_callback = std::function<void(const store_items &, bool IsList)>;
  using changes_callback = std::function<void(const store_changes &)>;
  /// Called after a read that is not relayed brought new data.
  using read_callback = std::function<void()>;
  /// Called after a newer configuration has come into force.
  using configuration_callback = std::function<void()>;
  /// Receives the start time of the read; empty if it failed.
  using confirmation_callback = std::function<void(std::optional<instant>)>;

  /// \param OnTargets receives the target entries that were read, before their
  ///        targets come into use.
  /// \param OnVms receives the VM entries that were read.
  /// \param OnChanges receives the results of this VM's own watches.
  store_follower(node_services &Services, fleet_store &Store,
                 follower_peers Peers, items_callback OnTargets,
                 items_callback OnVms, changes_callback OnChanges,
                 read_callback OnRead, configuration_callback OnConfiguration);

  void start();
  /// Sets whether this VM watches the collections itself.
  void setWatching(bool ShouldWatch);
  /// Applies changes that another VM has read.
  void applyRelayed(const store_changes &Changes);
  /// Applies a snapshot if this VM needs one and has no newer copy.
  void applySnapshot(const store_snapshot &Snapshot);
  /// Returns this VM's copy for another VM; nullopt if it is incomplete.
  std::optional<store_snapshot> makeSnapshot(fleet_collection Collection);
  /// Records that another VM knows of a change at position \p LastChange.
  void recordPeerChange(fleet_collection Collection, std::uint64_t LastChange);
  /// Sets the maximum delay between calls while the store is unreachable.
  void setMaxRetryDelay(duration Delay);
  /// Calls the store or asks other VMs at once, because some reach the store
  /// now.
  void watchersFound();
  /// Sets since when the store has been available to at least one known VM;
  /// empty: it is available to none.
  void setStoreAvailableSince(std::optional<instant> Since, instant Now) {
    Targets.setStoreAvailableSince(Since, Now);
  }
  /// Records that targets said in responses that they leave.
  void recordLeaving(std::span<const target_leaving> Leaving) {
    Targets.recordLeaving(Leaving);
  }
  /// Treats the store as unreachable, because other VMs reported it as such.
  void setStoreUnreachable();
  std::uint64_t position(fleet_collection Collection) const {
    return syncOf(Collection).position();
  }
  std::uint64_t lastChange(fleet_collection Collection) const {
    return syncOf(Collection).lastChange();
  }

  /// Reads the configuration, which confirms the keys. Concurrent calls share
  /// one read.
  void confirmKeys(confirmation_callback Callback);
  /// Records that a read that started at \p StartedAt confirmed the keys.
  void updateKeysConfirmedAt(instant StartedAt);
  /// Returns the start time of the last read that confirmed the keys.
  instant keysConfirmedAt() const { return KeysConfirmedAt; }
  bool isStoreReachable() const { return Reachability.isReachable(); }

private:
  /// Lists and watches a collection; never returns.
  task<void> follow(fleet_collection Collection);
  /// How a call to the store ended.
  enum class call_end {
    Succeeded,
    NoResponse, ///< The store did not respond, or said that it is unavailable.
    Unusable    ///< It responded with something that cannot be used.
  };
  /// Makes one call to the store.
  task<call_end> execute(fleet_collection Collection, const sync_step &Step);
  /// Calls execute(); an unexpected error counts as a response of no use.
  task<call_end> tryExecute(fleet_collection Collection, const sync_step &Step);
  void recordCall(fleet_collection Collection, call_end End);
  task<void> readConfiguration();
  /// Reads a whole collection while a watch on it is still open.
  task<void> catchUp(fleet_collection Collection);
  /// Whether to request a snapshot from other VMs instead of a list.
  bool shouldAskPeers(fleet_collection Collection) const;
  /// Requests a snapshot and waits for it. \returns whether it has arrived.
  task<bool> fetchFromPeers(fleet_collection Collection);
  /// Waits until shouldQuery() holds for a collection.
  task<void> waitUntilQueryNeeded(fleet_collection Collection);
  bool follows(fleet_collection Collection) const;
  /// Whether this VM itself has to call the store for a collection.
  bool shouldQuery(fleet_collection Collection) const;
  /// The collection whose calls show whether the store is reachable.
  fleet_collection probedCollection() const;
  read_freshness freshnessFor(fleet_collection Collection) const;
  /// Lists a collection if changes that other VMs have read did not arrive.
  void compareWithPeers(instant Now);
  /// Records that the history of the store reaches \p Position.
  void recordStorePosition(std::uint64_t Position);
  /// Marks for a list each collection that may lack a change of the store, as
  /// the watches of this VM did not deliver all of them.
  void compareWithStore();

  /// \returns whether the collection changed.
  bool apply(fleet_collection Collection, const store_items &Items,
             bool IsList);
  /// \returns whether a newer configuration came into force.
  bool applyConfiguration(const store_items &Items);
  /// Acts on a change of Reachability since the previous call.
  void updateReachability();
  void reportUnreadable(const store_item &Item,
                        const unreadable_content &Content);
  /// Reports objects without a name and a list that lacks entries.
  void reportUnlisted(fleet_collection Collection, const store_items &Items);

  node_services &Services;
  fleet_store &Store;
  const collection_sync &syncOf(fleet_collection Collection) const {
    return Sync[static_cast<std::size_t>(Collection)];
  }
  collection_sync &syncOf(fleet_collection Collection) {
    return Sync[static_cast<std::size_t>(Collection)];
  }

  follower_peers Peers;
  items_callback OnTargets;
  items_callback OnVms;
  changes_callback OnChanges;
  read_callback OnRead;
  configuration_callback OnConfiguration;
  /// The collections that this VM follows.
  std::span<const fleet_collection> Followed;
  /// Indexed by fleet_collection.
  std::array<collection_sync, AllCollections.size()> Sync;
  /// Whether a watch is open, by collection.
  std::array<bool, AllCollections.size()> IsWatching{};
  store_archive Archive;
  /// Timers of fetchFromPeers(), by collection; null while it does not wait.
  std::array<boost::asio::steady_timer *, AllCollections.size()>
      SnapshotWaits{};
  /// Changes that were read, of all collections.
  seen_revisions SeenRevisions;
  /// Highest position of the store that a call has shown.
  std::uint64_t StorePosition = 0;
  /// When compareWithPeers() last ran.
  instant LastComparison = instant::max();
  /// StorePosition at the last comparison.
  std::uint64_t ExpectedStorePosition = 0;
  /// Never expires; cancelled when the result of shouldQuery() may change.
  boost::asio::steady_timer WakeTimer;
  /// Delay before the next call while the store is unreachable.
  boost::asio::steady_timer RetryTimer;
  target_publisher Targets;
  evacuation_publisher Evacuations;
  bool IsWatcher = false;
  store_reachability Reachability;
  /// Reachability as of the last updateReachability().
  bool WasReachable = false;
  instant KeysConfirmedAt{};
  /// Callbacks that wait for the same read.
  std::vector<confirmation_callback> PendingConfirmations;
  timer_subscription CompareTimer;
};

} // namespace peridot
