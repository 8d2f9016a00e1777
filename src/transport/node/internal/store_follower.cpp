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
/// Whether a list of the configuration shows the one in force, which a list
/// that lacks entries may not.
bool showsConfiguration(const store_items &Items) {
  return !Items.Gap ||
         std::ranges::any_of(Items.Items, [](const store_item &Item) {
           return std::holds_alternative<fleet_configuration>(Item.Content);
         });
}

} // namespace

store_follower::store_follower(node_services &Services, fleet_store &Store,
                               follower_peers Peers, items_callback OnTargets,
                               items_callback OnVms, changes_callback OnChanges,
                               read_callback OnRead,
                               configuration_callback OnConfiguration)
    : Services(Services), Store(Store), Peers(std::move(Peers)),
      OnTargets(std::move(OnTargets)), OnVms(std::move(OnVms)),
      OnChanges(std::move(OnChanges)), OnRead(std::move(OnRead)),
      OnConfiguration(std::move(OnConfiguration)),
      Followed(
          followedCollections(Services.Settings.EvacuationBound.has_value())),
      Archive(Store), WakeTimer(Services.Loop), RetryTimer(Services.Loop),
      Targets(Services), Evacuations(Services, Targets),
      Reachability(Followed) {
  WakeTimer.expires_at(asio::steady_timer::time_point::max());
}

void store_follower::start() {
  for (const fleet_collection Each : Followed)
    asio::co_spawn(Services.Loop, follow(Each), asio::detached);
  Targets.start();
  CompareTimer = Services.Timers.every(
      ComparePeriod, [this](instant Now) { compareWithPeers(Now); });
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

bool store_follower::follows(fleet_collection Collection) const {
  return std::ranges::find(Followed, Collection) != Followed.end();
}

fleet_collection store_follower::probedCollection() const {
  return Reachability.probed(position(fleet_collection::Vms) == 0
                                 ? fleet_collection::Vms
                                 : fleet_collection::Configuration);
}

read_freshness store_follower::freshnessFor(fleet_collection Collection) const {
  // A first list of VMs may be stale, because the VMs' own reports show which
  // of them are present, and watchers relay what it lacks.
  const bool MayBeStale = Collection == fleet_collection::Vms && !IsWatcher &&
                          !syncOf(Collection).hasGap();
  return MayBeStale ? read_freshness::MayBeStale : read_freshness::Current;
}

bool store_follower::shouldQuery(fleet_collection Collection) const {
  // While the store is unreachable, only one collection is retried.
  if (!Reachability.isReachable())
    return Collection == probedCollection() &&
           (IsWatcher || !Peers.IsOutageReported());
  if (IsWatcher || syncOf(Collection).needsList())
    return true;
  // Until watchers relay changes, the list of VMs shows whom to ask.
  return Collection == fleet_collection::Vms && !Peers.HasWatchers();
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
    if (shouldAskPeers(Collection)) {
      const bool HadWatchers = Peers.HasWatchers();
      bool HasArrived = co_await fetchFromPeers(Collection);
      // The next request goes to another watcher.
      if (!HasArrived && HadWatchers)
        HasArrived = co_await fetchFromPeers(Collection);
      // Without an available watcher, this VM or another one takes over soon.
      if (HasArrived || (!IsWatcher && !HadWatchers))
        continue;
    }
    const sync_step Step = Progress.next();
    if (const auto *Pause = std::get_if<pause_step>(&Step)) {
      asio::steady_timer &Timer = isStoreReachable() ? Delay : RetryTimer;
      Timer.expires_after(Pause->Delay);
      co_await Timer.async_wait(UseTaskTuple);
      continue;
    }
    bool &IsWatchRunning = IsWatching[static_cast<std::size_t>(Collection)];
    IsWatchRunning = std::holds_alternative<watch_step>(Step);
    const call_end End = co_await tryExecute(Collection, Step);
    IsWatchRunning = false;
    recordCall(Collection, End);
  }
}

void store_follower::recordCall(fleet_collection Collection, call_end End) {
  const bool WasReachableBefore = Reachability.isReachable();
  if (End == call_end::Succeeded) {
    Reachability.recordSuccess(Collection);
  } else {
    collection_sync &Progress = syncOf(Collection);
    Progress.recordFailure();
    Reachability.recordFailure(Collection,
                               {.Failures = Progress.failureCount(),
                                .WasAnswered = End == call_end::Unusable});
  }
  updateReachability();
  // The store responded, so another collection may be readable. Its open watch
  // would show that only when it ends.
  if (End == call_end::Unusable && WasReachableBefore && !isStoreReachable())
    confirmKeys([](std::optional<instant>) {});
}

void store_follower::setMaxRetryDelay(duration Delay) {
  for (collection_sync &Each : Sync)
    Each.setMaxRetryDelay(Delay);
}

void store_follower::watchersFound() {
  RetryTimer.cancel();
  WakeTimer.cancel();
  for (asio::steady_timer *Wait : SnapshotWaits)
    if (Wait)
      Wait->cancel();
}

void store_follower::setStoreUnreachable() {
  for (const fleet_collection Each : Followed)
    if (Each != fleet_collection::Vms)
      syncOf(Each).recordFailure();
  Reachability.recordUnreachable();
  updateReachability();
}

task<store_follower::call_end>
store_follower::tryExecute(fleet_collection Collection, const sync_step &Step) {
  try {
    co_return co_await execute(Collection, Step);
  } catch (const std::exception &Error) {
    logHandlerFailure(Error.what());
  }
  co_return call_end::Unusable;
}

task<store_follower::call_end>
store_follower::execute(fleet_collection Collection, const sync_step &Step) {
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
    co_return Items.error().Kind == error_kind::Protocol ? call_end::Unusable
                                                         : call_end::NoResponse;
  }
  if (Items->IsHistoryGone) {
    logEvent(log_level::Info, "store-history-gone",
             {{"collection", nameOf(Collection)}});
    Progress.recordHistoryGone();
    co_return call_end::Succeeded;
  }
  const bool Current = Freshness == read_freshness::Current;
  recordStorePosition(Items->Position);
  if (!Progress.accepts(Items->Position))
    // Relayed changes have already brought the copy further.
    co_return call_end::Succeeded;
  std::optional<store_changes> Relayed;
  // The range begins at the last change, so that it also follows on copies that
  // were read at other positions since.
  if (Current && Watch && IsWatcher && !Items->Items.empty())
    Relayed = store_changes{
        .Collection = Collection,
        .Range = {.After = Progress.lastChange(), .Position = Items->Position},
        .Document = Archive.packChanges(Collection, *Items)};
  // Applied before the store counts as reachable again, so that the targets'
  // entries are in place by then.
  reportUnlisted(Collection, *Items);
  const bool IsWholeList = !Watch && !Items->Gap;
  const bool Changed = apply(Collection, *Items, IsWholeList);
  if (Watch)
    Progress.recordPosition(Items->Position, Changed);
  else if (Items->Gap)
    Progress.recordPartialList(Items->Position);
  else
    Progress.recordList(Items->Position, Changed);
  if (!Watch && Collection == fleet_collection::Configuration &&
      showsConfiguration(*Items))
    updateKeysConfirmedAt(StartedAt);
  if (Current && !Watch)
    OnRead();
  if (Relayed)
    OnChanges(*Relayed);
  co_return call_end::Succeeded;
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
  const bool IsConfirmed = Items && showsConfiguration(*Items);
  if (IsConfirmed) {
    // The position stays unchanged, so that the next result of the watch
    // follows on its last one without a gap.
    for (const store_item &Item : Items->Items)
      SeenRevisions.record(Item.Revision);
    const bool IsNewer = applyConfiguration(*Items);
    recordStorePosition(Items->Position);
    updateKeysConfirmedAt(StartedAt);
    Reachability.recordSuccess(fleet_collection::Configuration);
    updateReachability();
    if (IsNewer)
      OnRead();
  } else {
    logEvent(log_level::Warning, "confirmation-failed",
             {{"cause", std::string_view(Items ? Items->Gap->Cause
                                               : Items.error().Message)}});
  }
  for (const confirmation_callback &Each :
       std::exchange(PendingConfirmations, {}))
    Each(IsConfirmed ? std::optional(StartedAt) : std::nullopt);
}

void store_follower::updateKeysConfirmedAt(instant StartedAt) {
  if (StartedAt <= KeysConfirmedAt)
    return;
  KeysConfirmedAt = StartedAt;
  for (const auto &Worker : Services.Workers)
    Worker->publishKeyFreshness(StartedAt +
                                Services.Settings.KeyStalenessLimit);
}

void store_follower::updateReachability() {
  const bool IsReachable = Reachability.isReachable();
  if (IsReachable == std::exchange(WasReachable, IsReachable))
    return;
  WakeTimer.cancel();
  Services.Decisions.record(
      {.Kind = IsReachable ? decision_kind::StoreRegained
                           : decision_kind::StoreLost,
       .Subject = subject_kind::Vm,
       .Name = Services.Self.Vm.str(),
       .Cause = IsReachable ? "a call to the store succeeded"
                            : "calls to the store failed",
       .Rule = "while the store is unreachable, only one collection is "
               "retried"});
}

bool store_follower::apply(fleet_collection Collection,
                           const store_items &Items, bool IsList) {
  for (const store_item &Item : Items.Items)
    SeenRevisions.record(Item.Revision);
  for (const store_item &Item : Items.Items)
    if (const auto *Unreadable = std::get_if<unreadable_content>(&Item.Content);
        Unreadable && !Item.IsRemoved)
      reportUnreadable(Item, *Unreadable);
  const bool Changed = Archive.apply(Collection, Items, IsList);
  switch (Collection) {
  case fleet_collection::Configuration:
    applyConfiguration(Items);
    break;
  case fleet_collection::Targets:
    OnTargets(Items, IsList);
    Targets.apply(Items, IsList);
    break;
  case fleet_collection::Vms:
    OnVms(Items, IsList);
    break;
  case fleet_collection::Evacuations:
    Evacuations.apply(Items, IsList);
    break;
  }
  return Changed;
}

void store_follower::reportUnreadable(const store_item &Item,
                                      const unreadable_content &Content) {
  Services.Metrics.getOrCreateCounter("peridot_store_unreadable_total").add();
  logEvent(log_level::Warning, "store-entry-unreadable",
           {{"name", std::string_view(Item.Name)},
            {"revision", static_cast<std::int64_t>(Item.Revision)},
            {"cause", std::string_view(Content.Reason)}});
}

void store_follower::reportUnlisted(fleet_collection Collection,
                                    const store_items &Items) {
  if (Items.UnnamedCount > 0) {
    Services.Metrics.getOrCreateCounter("peridot_store_unreadable_total")
        .add(Items.UnnamedCount);
    logEvent(log_level::Warning, "store-entries-unnamed",
             {{"collection", nameOf(Collection)},
              {"entries", static_cast<std::int64_t>(Items.UnnamedCount)}});
  }
  if (!Items.Gap)
    return;
  Services.Metrics.getOrCreateCounter("peridot_store_partial_lists_total")
      .add();
  logEvent(log_level::Warning, "store-list-partial",
           {{"collection", nameOf(Collection)},
            {"last_name", std::string_view(Items.Gap->LastName)},
            {"cause", std::string_view(Items.Gap->Cause)},
            {"rule", "entries that were read are used, others stay in use"}});
}

bool store_follower::applyConfiguration(const store_items &Items) {
  bool IsNewer = false;
  const configuration_ptr InForce = Services.Snapshots.current().Configuration;
  for (const store_item &Item : Items.Items) {
    const auto *Read = std::get_if<fleet_configuration>(&Item.Content);
    if (Item.IsRemoved || !Read ||
        (InForce && Read->Revision <= InForce->configuration().Revision))
      continue;
    for (const std::string &Each : Read->SkippedResources)
      logEvent(log_level::Warning, "configuration-resource-skipped",
               {{"resource", std::string_view(Each)}});
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
  if (IsNewer)
    OnConfiguration();
  return IsNewer;
}

} // namespace peridot
