#include "transport/node/internal/target_publisher.h"

#include "coordination/registry/evacuation_registry.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds ExpiryPeriod{500};

} // namespace

void target_publisher::start() {
  ExpiryTimer =
      Services.Timers.every(ExpiryPeriod, [this](instant Now) { expire(Now); });
}

void target_publisher::apply(const store_items &Items, bool IsList) {
  const instant Now = Services.Timers.now();
  Position = Items.Position;
  targets_listed Listed;
  bool Changed = false;
  for (const store_item &Item : Items.Items) {
    const auto *Target = std::get_if<registered_target>(&Item.Content);
    if (IsList) {
      if (Target)
        Listed.Targets.push_back(*Target);
      continue;
    }
    Changed |= Registry.handle(
        Item.IsRemoved || !Target
            ? registry_event(target_removed{target_name(Item.Name)})
            : registry_event(target_changed{*Target}),
        Now);
  }
  if (IsList)
    Changed = Registry.handle(std::move(Listed), Now);
  logDecisions();
  if (Changed || !Services.Snapshots.current().RegisteredTargets)
    publish();
}

void target_publisher::setStoreAvailableSince(std::optional<instant> Since,
                                              instant Now) {
  Registry.handle(Since ? registry_event(store_available{*Since})
                        : registry_event(store_unavailable{}),
                  Now);
  if (Since.has_value() != IsStoreAvailable) {
    IsStoreAvailable = Since.has_value();
    logEvent(log_level::Info, "store-availability",
             {{"available", IsStoreAvailable},
              {"rule", "targets without an entry stay in use while no VM "
                       "reaches the store and for a grace period after"}});
  }
  expire(Now);
}

void target_publisher::setEvacuated(
    std::shared_ptr<const data_center_set> DataCenters) {
  Evacuated = std::move(DataCenters);
  if (isListed())
    publish();
}

void target_publisher::recordLeaving(std::span<const target_leaving> Leaving) {
  bool Changed = false;
  for (const target_leaving &Each : Leaving) {
    if (!Registry.handle(Each, Services.Timers.now()))
      continue;
    logLeaving(Each);
    Services.Metrics.getOrCreateCounter("peridot_targets_leaving_total").add();
    Changed = true;
  }
  logDecisions();
  if (Changed)
    publish();
}

void target_publisher::logLeaving(const target_leaving &Event) {
  logEvent(log_level::Info, "target-leaving",
           {{"target", Event.Target.view()},
            {"started_at", Event.StartedAt},
            {"request", std::string_view(Event.Request)},
            {"rule", "it gets no new requests until its entry is removed or "
                     "is that of a later process"}});
}

void target_publisher::expire(instant Now) {
  if (!Registry.expire(Now))
    return;
  logDecisions();
  publish();
}

void target_publisher::logDecisions() {
  for (const target_decision &Each : Registry.takeDecisions())
    logEvent(log_level::Info, "target-entry",
             {{"target", Each.Target.view()},
              {"transition", nameOf(Each.Transition)},
              {"store_available", IsStoreAvailable},
              {"position", static_cast<std::int64_t>(Position)}});
}

void target_publisher::publish() {
  if (Services.Settings.EvacuationBound && !Evacuated)
    return;
  target_table InForce = Registry.table();
  const std::size_t Left = Evacuated ? removeEvacuated(InForce, *Evacuated) : 0;
  const auto Table = std::make_shared<const target_table>(std::move(InForce));
  // Both at once: a traffic thread chooses again while the target that it chose
  // is evacuated.
  Services.Snapshots.update([&](routing_snapshot &Snapshot) {
    Snapshot.RegisteredTargets = Table;
    Snapshot.Evacuated = Evacuated;
  });
  std::size_t InUse = 0;
  for (const auto &[Service, Registered] : *Table)
    InUse += Registered.size();
  logEvent(log_level::Info, "targets-changed",
           {{"registered", static_cast<std::int64_t>(Registry.size())},
            {"in_use", static_cast<std::int64_t>(InUse)}});
  if (InUse == 0 && Left > 0)
    logEvent(log_level::Warning, "evacuation-left-no-target",
             {{"targets", static_cast<std::int64_t>(Left)},
              {"rule", "requests are refused as not run"}});
}

} // namespace peridot
