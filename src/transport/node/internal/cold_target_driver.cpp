#include "transport/node/internal/cold_target_driver.h"

#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds LogPeriod{500};

} // namespace

cold_target_driver::cold_target_driver(node_services &Services)
    : Services(Services),
      Targets(Services.Settings.Vm, Services.Settings.DataCenter) {}

void cold_target_driver::start() {
  Timer = Services.Timers.every(LogPeriod,
                                [this](instant Now) { logChanges(Now); });
}

void cold_target_driver::apply(const store_items &Items, bool IsList) {
  const instant Now = Services.Timers.now();
  std::vector<registered_target> Listed;
  for (const store_item &Item : Items.Items) {
    const auto *Target = std::get_if<registered_target>(&Item.Content);
    if (IsList) {
      if (Target)
        Listed.push_back(*Target);
    } else if (Item.IsRemoved || !Target) {
      Targets.remove(target_name(Item.Name), Now);
    } else {
      Targets.update(*Target, Now);
    }
  }
  if (IsList)
    Targets.list(Listed, Now);
  logChanges(Now);
}

void cold_target_driver::setHosts(std::span<const vm_name> Hosts,
                                  std::size_t RegisteredVms) {
  Targets.setHosts({.Hosts = Hosts, .RegisteredVms = RegisteredVms},
                   Services.Timers.now());
}

void cold_target_driver::configurationAccepted() {
  if (const auto &Current = Services.Snapshots.current().Configuration)
    Targets.setServices(Current->configuration().Services,
                        Services.Timers.now());
}

void cold_target_driver::logChanges(instant Now) {
  for (const cold_target_change &Each : Targets.takeChanges(Now)) {
    Services.Metrics
        .getOrCreateCounter(Each.IsCold ? "peridot_targets_cold_total"
                                        : "peridot_targets_warm_total")
        .add();
    logEvent(log_level::Info, Each.IsCold ? "target-cold" : "target-warm",
             {{"target", Each.Target.view()},
              {"service", Each.Service.view()},
              {"started_at", Each.StartedAt},
              {"sender", Each.IsSender}});
  }
}

} // namespace peridot
