#include "transport/node/internal/store_follower.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>

#include "transport/logging/event_log.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

/// Time after which a watch without changes returns.
constexpr std::chrono::milliseconds MaxWatchWait{10'000};
/// Time within which changes read by another VM must arrive here; after that
/// they count as missing.
constexpr std::chrono::milliseconds ComparePeriod{250};
/// Number of consecutive failures after which the store counts as unreachable.
constexpr unsigned FailuresUntilUnreachable = 2;

std::string_view nameOf(fleet_collection Collection) {
  switch (Collection) {
  case fleet_collection::Configuration:
    return "configuration";
  case fleet_collection::Targets:
    return "targets";
  case fleet_collection::Vms:
    return "vms";
  }
  return "unknown";
}

/// A stale list of VMs is acceptable, because the VMs' own reports show which
/// of them are present.
read_freshness freshnessFor(fleet_collection Collection) {
  return Collection == fleet_collection::Vms ? read_freshness::MayBeStale
                                             : read_freshness::Current;
}

} // namespace

store_follower::store_follower(node_services &Services, fleet_store &Store,
                               vms_callback OnVms, changes_callback OnChanges,
                               read_callback OnRead)
    : Services(Services), Store(Store), OnVms(std::move(OnVms)),
      OnChanges(std::move(OnChanges)), OnRead(std::move(OnRead)),
      WakeTimer(Services.Loop), RetryTimer(Services.Loop), Targets(Services) {
  WakeTimer.expires_at(asio::steady_timer::time_point::max());
}

void store_follower::start() {
  for (const fleet_collection Each :
       {fleet_collection::Configuration, fleet_collection::Targets,
        fleet_collection::Vms})
    asio::co_spawn(Services.Loop, follow(Each), asio::detached);
  Targets.start();
  CompareTimer = Services.Timers.every(ComparePeriod,
                                       [this](instant) { compareWithPeers(); });
}

void store_follower::setWatching(bool ShouldWatch) {
  if (ShouldWatch == IsWatcher)
    return;
  IsWatcher = ShouldWatch;
  logEvent(
      log_level::Info, "store-reading",
      {{"reads", IsWatcher},
       {"cause", IsWatcher
                     ? "too few VMs of the data centre watch the store"
                     : "enough other VMs of the data centre watch the store"}});
  WakeTimer.cancel();
}

bool store_follower::shouldQuery(fleet_collection Collection) const {
  // Every VM needs the list of VMs to find the others. A read that may be stale
  // is cheap.
  if (Collection == fleet_collection::Vms)
    return IsReachable;
  // While the store is unreachable, only one collection is retried.
  if (!IsReachable)
    return Collection == fleet_collection::Configuration;
  return IsWatcher || syncOf(Collection).needsList();
}

task<void> store_follower::waitUntilQueryNeeded(fleet_collection Collection) {
  while (!shouldQuery(Collection))
    co_await WakeTimer.async_wait(UseTaskTuple);
}

task<void> store_follower::follow(fleet_collection Collection) {
  asio::steady_timer Delay(Services.Loop);
  collection_sync &Progress = syncOf(Collection);
  while (true) {
    co_await waitUntilQueryNeeded(Collection);
    const sync_step Step = Progress.next();
    if (const auto *Pause = std::get_if<pause_step>(&Step)) {
      asio::steady_timer &Timer = IsReachable ? Delay : RetryTimer;
      Timer.expires_after(Pause->Delay);
      co_await Timer.async_wait(UseTaskTuple);
      continue;
    }
    bool &IsWatchRunning = IsWatching[static_cast<std::size_t>(Collection)];
    IsWatchRunning = std::holds_alternative<watch_step>(Step);
    const bool Succeeded = co_await execute(Collection, Step);
    IsWatchRunning = false;
    if (!Succeeded)
      Progress.recordFailure();
    // A single failure shows neither that the store is unreachable nor that it
    // is reachable again.
    if (Succeeded || Progress.failureCount() >= FailuresUntilUnreachable)
      updateReachability(Succeeded);
  }
}

void store_follower::recordStorePosition(std::uint64_t Position) {
  StorePosition = std::max(StorePosition, Position);
}

void store_follower::compareWithStore() {
  std::uint64_t Highest = 0;
  for (const collection_sync &Each : Sync)
    Highest = std::max(Highest, Each.position());
  // A change of another collection moves the position of that collection.
  if (IsWatcher && ExpectedStorePosition > Highest)
    syncOf(fleet_collection::Targets).recordUndelivered();
  ExpectedStorePosition = StorePosition;
}

void store_follower::compareWithPeers() {
  for (const fleet_collection Each :
       {fleet_collection::Configuration, fleet_collection::Targets}) {
    collection_sync &Progress = syncOf(Each);
    const bool NeededList = Progress.needsList();
    Progress.compareWithPeers();
    if (Each == fleet_collection::Targets)
      compareWithStore();
    if (NeededList || !Progress.needsList())
      continue;
    logEvent(log_level::Info, "store-changes-missing",
             {{"collection", nameOf(Each)},
              {"position", static_cast<std::int64_t>(Progress.position())}});
    // An open watch may wait up to MaxWatchWait, so the list runs beside it.
    if (IsWatching[static_cast<std::size_t>(Each)])
      asio::co_spawn(Services.Loop, catchUp(Each), asio::detached);
    WakeTimer.cancel();
  }
}

void store_follower::setMaxRetryDelay(duration Delay) {
  for (collection_sync &Each : Sync)
    Each.setMaxRetryDelay(Delay);
}

void store_follower::retryNow() { RetryTimer.cancel(); }

void store_follower::setStoreUnreachable() {
  for (const fleet_collection Each :
       {fleet_collection::Configuration, fleet_collection::Targets})
    syncOf(Each).recordFailure();
  updateReachability(false);
}

task<void> store_follower::catchUp(fleet_collection Collection) {
  co_await execute(Collection, list_step{});
}

void store_follower::recordPeerPosition(fleet_collection Collection,
                                        std::uint64_t Position) {
  syncOf(Collection).recordPeerPosition(Position);
}

void store_follower::applyRelayed(const store_changes &Changes) {
  // Every watcher sends each change; only the first copy is decoded.
  if (position(Changes.Collection) >= Changes.Range.Position)
    return;
  const auto Items = Store.DecodeChanges(Changes.Collection, Changes.Document);
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

task<bool> store_follower::execute(fleet_collection Collection,
                                   const sync_step &Step) {
  collection_sync &Progress = syncOf(Collection);
  const auto *Watch = std::get_if<watch_step>(&Step);
  const instant StartedAt = Services.Timers.now();
  const read_freshness Freshness = freshnessFor(Collection);
  watch_request Request{.Collection = Collection,
                        .After = Watch ? Watch->After : 0,
                        .Wait = MaxWatchWait,
                        .Freshness = Freshness};
  // GCC 12 destroys the operands of a co_await inside ?: twice.
  result<store_items> Items;
  if (Watch)
    Items = co_await Store.Watch(Request);
  else
    Items = co_await Store.List(Collection, Freshness);
  Services.Metrics.getOrCreateCounter("peridot_store_calls_total").add();
  if (!Items) {
    logEvent(log_level::Warning, "store-call-failed",
             {{"collection", nameOf(Collection)},
              {"watch", Watch != nullptr},
              {"cause", std::string_view(Items.error().Message)},
              {"failures", std::int64_t{Progress.failureCount() + 1}}});
    co_return false;
  }
  if (Items->IsHistoryGone) {
    logEvent(log_level::Info, "store-history-gone",
             {{"collection", nameOf(Collection)}});
    Progress.recordHistoryGone();
    co_return true;
  }
  const bool Current = Freshness == read_freshness::Current;
  if (Current && !Progress.accepts(Items->Position))
    co_return true; // Relayed changes have already brought the copy further.
  // Applied before the store counts as reachable again, so that the targets'
  // entries are in place by then.
  apply(Collection, *Items, !Watch);
  Progress.recordPosition(Items->Position, !Items->Items.empty());
  if (!Watch && Collection == fleet_collection::Configuration)
    updateKeysConfirmedAt(StartedAt);
  if (Current && !Watch)
    OnRead();
  if (Current && Watch)
    OnChanges({.Collection = Collection,
               .Range = {.After = Watch->After, .Position = Items->Position},
               .Document = std::move(Items->Document)});
  co_return true;
}

void store_follower::confirmKeys(confirmation_callback Callback) {
  PendingConfirmations.push_back(std::move(Callback));
  if (PendingConfirmations.size() == 1)
    asio::co_spawn(Services.Loop, readConfiguration(), asio::detached);
}

task<void> store_follower::readConfiguration() {
  const instant StartedAt = Services.Timers.now();
  const auto Items = co_await Store.List(fleet_collection::Configuration,
                                         read_freshness::Current);
  Services.Metrics.getOrCreateCounter("peridot_store_calls_total").add();
  if (Items) {
    // The position stays unchanged, so that the next result of the watch
    // follows on its last one without a gap.
    const bool IsNewer = applyConfiguration(*Items);
    recordStorePosition(Items->Position);
    updateKeysConfirmedAt(StartedAt);
    updateReachability(true);
    if (IsNewer)
      OnRead();
  } else {
    logEvent(log_level::Warning, "confirmation-failed",
             {{"cause", std::string_view(Items.error().Message)}});
  }
  for (const confirmation_callback &Each :
       std::exchange(PendingConfirmations, {}))
    Each(Items ? std::optional(StartedAt) : std::nullopt);
}

void store_follower::updateKeysConfirmedAt(instant StartedAt) {
  if (StartedAt <= KeysConfirmedAt)
    return;
  KeysConfirmedAt = StartedAt;
  for (const auto &Worker : Services.Workers)
    Worker->publishKeyFreshness(StartedAt +
                                Services.Settings.KeyStalenessLimit);
}

void store_follower::updateReachability(bool Succeeded) {
  if (Succeeded == IsReachable)
    return;
  IsReachable = Succeeded;
  WakeTimer.cancel();
  Services.Decisions.record(
      {.Kind =
           Succeeded ? decision_kind::StoreRegained : decision_kind::StoreLost,
       .Subject = subject_kind::Vm,
       .Name = Services.Self.Vm.str(),
       .Cause = Succeeded ? "a call to the store succeeded"
                          : "calls to the store failed",
       .Rule = "while the store is unreachable, only the configuration is "
               "retried"});
}

void store_follower::apply(fleet_collection Collection,
                           const store_items &Items, bool IsList) {
  for (const store_item &Item : Items.Items)
    if (const auto *Unreadable = std::get_if<unreadable_content>(&Item.Content);
        Unreadable && !Item.IsRemoved)
      reportUnreadable(Item, *Unreadable);
  switch (Collection) {
  case fleet_collection::Configuration:
    applyConfiguration(Items);
    return;
  case fleet_collection::Targets:
    return Targets.apply(Items, IsList);
  case fleet_collection::Vms:
    return OnVms(Items, IsList);
  }
}

void store_follower::reportUnreadable(const store_item &Item,
                                      const unreadable_content &Content) {
  Services.Metrics.getOrCreateCounter("peridot_store_unreadable_total").add();
  logEvent(log_level::Warning, "store-entry-unreadable",
           {{"name", std::string_view(Item.Name)},
            {"revision", static_cast<std::int64_t>(Item.Revision)},
            {"cause", std::string_view(Content.Reason)}});
}

bool store_follower::applyConfiguration(const store_items &Items) {
  bool IsNewer = false;
  const configuration_ptr InForce = Services.Snapshots.current().Configuration;
  for (const store_item &Item : Items.Items) {
    const auto *Read = std::get_if<fleet_configuration>(&Item.Content);
    if (Item.IsRemoved || !Read ||
        (InForce && Read->Revision <= InForce->configuration().Revision))
      continue;
    const auto Index = std::make_shared<configuration_index>(*Read);
    Services.Snapshots.update([&](routing_snapshot &Snapshot) {
      Snapshot.Configuration = Index;
      Snapshot.KeysAreFresh = true;
    });
    Services.Decisions.record(
        {.Kind = decision_kind::ConfigurationAccepted,
         .Subject = subject_kind::Configuration,
         .Name = std::to_string(Read->Revision.Value),
         .Cause = "the store holds a higher version",
         .Evidence = "object revision " + std::to_string(Item.Revision),
         .Rule = "only a higher version replaces the one in force"});
    IsNewer = true;
  }
  return IsNewer;
}

} // namespace peridot
