/// \file
/// What other VMs have read; part of store_follower.
#include "transport/node/internal/store_follower.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "protocol/store_messages/document_packing.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

/// Maximum wait for a snapshot of another VM.
constexpr std::chrono::milliseconds SnapshotTimeout{300};
/// Wait after which a VM looks again whether there is a VM to ask.
constexpr std::chrono::milliseconds NoPeerRetryDelay{100};

/// Time without a comparison after which changes count as missed.
constexpr std::chrono::milliseconds MaxComparisonGap{2'000};

} // namespace

bool store_follower::shouldAskPeers(fleet_collection Collection) const {
  const collection_sync &Progress = syncOf(Collection);
  const bool IsFirstListOfVms =
      Collection == fleet_collection::Vms && Progress.position() == 0;
  return !IsWatcher && isStoreReachable() && Progress.needsList() &&
         Progress.failureCount() == 0 && !IsFirstListOfVms;
}

task<bool> store_follower::fetchFromPeers(fleet_collection Collection) {
  const bool HasAsked = Peers.RequestSnapshot(Collection);
  asio::steady_timer Timer(Services.Loop);
  Timer.expires_after(HasAsked ? SnapshotTimeout : NoPeerRetryDelay);
  const auto Index = static_cast<std::size_t>(Collection);
  SnapshotWaits[Index] = &Timer;
  co_await Timer.async_wait(UseTaskTuple);
  SnapshotWaits[Index] = nullptr;
  co_return !syncOf(Collection).needsList();
}

task<void> store_follower::catchUp(fleet_collection Collection) {
  if (shouldAskPeers(Collection)) {
    const bool HasArrived = co_await fetchFromPeers(Collection);
    if (HasArrived)
      co_return;
  }
  co_await tryExecute(Collection, list_step{});
}

void store_follower::recordStorePosition(std::uint64_t Position) {
  StorePosition = std::max(StorePosition, Position);
}

void store_follower::compareWithStore() {
  // The configuration is read again anyway, to confirm the keys.
  if (IsWatcher)
    for (const fleet_collection Each : Followed)
      if (Each != fleet_collection::Configuration &&
          !SeenRevisions.coverRange(position(Each), ExpectedStorePosition))
        syncOf(Each).recordUndelivered();
  ExpectedStorePosition = StorePosition;
}

void store_follower::compareWithPeers(instant Now) {
  // Reports of other VMs may have become too old.
  if (!isStoreReachable())
    WakeTimer.cancel();
  std::array<bool, AllCollections.size()> NeededList{};
  for (const fleet_collection Each : Followed)
    NeededList[static_cast<std::size_t>(Each)] = syncOf(Each).needsList();
  compareWithStore();
  // The process was stopped meanwhile and may have missed an evacuation.
  if (follows(fleet_collection::Evacuations) &&
      LastComparison < Now - MaxComparisonGap)
    syncOf(fleet_collection::Evacuations).recordUndelivered();
  LastComparison = Now;
  for (const fleet_collection Each : Followed) {
    collection_sync &Progress = syncOf(Each);
    Progress.compareWithPeers();
    if (NeededList[static_cast<std::size_t>(Each)] || !Progress.needsList())
      continue;
    logEvent(log_level::Info, "store-changes-missing",
             {{"collection", nameOf(Each)},
              {"position", static_cast<std::int64_t>(Progress.position())}});
    if (!isStoreReachable())
      Peers.RequestSnapshot(Each);
    // An open watch may wait up to MaxWatchWait, so the list runs beside it.
    if (IsWatching[static_cast<std::size_t>(Each)])
      asio::co_spawn(Services.Loop, catchUp(Each), asio::detached);
    WakeTimer.cancel();
  }
}

void store_follower::recordPeerChange(fleet_collection Collection,
                                      std::uint64_t LastChange) {
  syncOf(Collection).recordPeerChange(LastChange);
}

void store_follower::applyRelayed(const store_changes &Changes) {
  // Every watcher sends each change; only the first copy is decoded.
  if (!follows(Changes.Collection) ||
      position(Changes.Collection) >= Changes.Range.Position)
    return;
  const auto Document =
      Archive.unpackChanges(Changes.Collection, Changes.Document);
  if (!Document) {
    syncOf(Changes.Collection).recordUndelivered();
    WakeTimer.cancel();
    return;
  }
  const auto Items = Store.DecodeChanges(Changes.Collection, *Document);
  if (!Items) {
    logError("relayed-changes-unreadable", Items.error());
    return;
  }
  if (syncOf(Changes.Collection).acceptRelayed(Changes.Range) ==
      relay_decision::Apply)
    apply(Changes.Collection, *Items, false);
  else if (syncOf(Changes.Collection).needsList())
    WakeTimer.cancel();
}

std::optional<store_snapshot>
store_follower::makeSnapshot(fleet_collection Collection) {
  const collection_sync &Progress = syncOf(Collection);
  if (Progress.needsList() || Progress.isPartial())
    return std::nullopt;
  return Archive.snapshot(Collection, Progress);
}

void store_follower::applySnapshot(const store_snapshot &Snapshot) {
  collection_sync &Progress = syncOf(Snapshot.Collection);
  if (!follows(Snapshot.Collection) || !Progress.needsList() ||
      !Progress.accepts(Snapshot.Position))
    return;
  const auto Document = unpackDocument(Snapshot.Document);
  const auto Items =
      Document ? Store.DecodeList(Snapshot.Collection, *Document)
               : result<store_items>(tl::unexpected(Document.error()));
  if (!Items) {
    logError("snapshot-unreadable", Items.error());
    return;
  }
  apply(Snapshot.Collection, *Items, true);
  Progress.acceptSnapshot(Snapshot.Position, Snapshot.LastChange);
  logEvent(log_level::Info, "snapshot-applied",
           {{"collection", nameOf(Snapshot.Collection)},
            {"entries", static_cast<std::int64_t>(Items->Items.size())},
            {"position", static_cast<std::int64_t>(Snapshot.Position)}});
  if (auto *Wait = SnapshotWaits[static_cast<std::size_t>(Snapshot.Collection)])
    Wait->cancel();
}

} // namespace peridot
