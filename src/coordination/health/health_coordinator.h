/// \file
/// Coordinates gray-failure detection on one VM: reports evidence to the
/// owners, decides on the services it owns and follows the other owners'
/// verdicts.
#pragma once

#include <optional>
#include <span>
#include <unordered_map>
#include <utility>

#include "coordination/health/evidence_collector.h"
#include "coordination/health/internal/service_role.h"
#include "coordination/health/types/health_effects.h"
#include "coordination/health/verdict_store.h"
#include "state/configuration/configuration_index.h"

namespace peridot {

/// Settings of the health coordinator.
struct health_coordinator_options {
  vm_name Self;
  data_center_name DataCenter;
  collector_options Reports;
  /// Time that a new owner collects verdicts from its peers before it decides.
  duration RecoveryTime = std::chrono::seconds(2);
  /// Time that a VM applies a drain notice without a verdict of the owner.
  duration UnconfirmedDrainTime = std::chrono::seconds(5);
};

/// Holds the role and detector of each service. Used on the control thread
/// only.
class health_coordinator {
public:
  explicit health_coordinator(health_coordinator_options Options)
      : Options(std::move(Options)), Collector(this->Options.Reports) {}

  health_effects configure(configuration_ptr Next, const health_context &Fleet);
  /// Handles attempts of this VM's traffic threads.
  health_effects observe(std::span<const attempt_observation> Attempts,
                         const health_context &Fleet);
  health_effects receive(const health_sender &Sender,
                         const health_message &Message,
                         const health_context &Fleet);
  /// Handles due work; called about twice a second.
  health_effects tick(const health_context &Fleet);

  /// Conditions of the targets that are not serving.
  std::unordered_map<target_name, target_condition>
  conditions(instant Now) const;

private:
  struct service_state {
    service_role Role;
    std::optional<vm_incarnation> Owner; ///< Last known owner.
  };

  void on(const health_sender &Sender, const service_report &Report,
          const health_context &Fleet);
  void on(const health_sender &Sender, const service_verdicts &Set,
          const health_context &Fleet);
  void on(const health_sender &Sender, const drain_notice &Notice,
          const health_context &Fleet);
  void on(const health_sender &Sender, const verdict_query &Query,
          const health_context &Fleet);

  void updateRole(const service &Service, service_state &State,
                  const health_context &Fleet);
  /// Targets of \p Service with a drain notice in force.
  std::vector<target_id> drainingTargets(const service &Service,
                                         instant Now) const;
  service_health makeDetector(const service &Service, instant Now) const;
  void startOwning(const service &Service, service_state &State, instant Now);
  void handleDrainSignal(const attempt_observation &Attempt,
                         const health_context &Fleet);
  void dispatch(const service_name &Name, service_state &State,
                const health_event &Event, instant Now);
  /// Publishes the verdicts if they changed since version \p Before.
  void publishChanges(service_state &State, verdict_version Before);
  void publish(const service_verdicts &Set, std::span<const vm_name> Observers);
  void deliverReport(service_report Report, const health_context &Fleet);
  void recordDecisions(const service_name &Name, const service_state &State,
                       health_decisions Decisions);
  void send(const vm_name &To, health_message Message);
  void expireDrainNotices(instant Now);
  service_state *findState(const service_name &Name);
  health_effects takeEffects() { return std::exchange(Effects, {}); }

  health_coordinator_options Options;
  configuration_ptr Configuration;
  evidence_collector Collector;
  verdict_store Store;
  std::unordered_map<service_name, service_state> Services;
  /// Expiry times of the drain notices that bridge the time until the owner's
  /// verdict.
  std::unordered_map<target_name, instant> DrainNotices;
  health_effects Effects;
};

} // namespace peridot
