/// \file
/// Gray-failure detector of one service: accumulates evidence, ejects targets
/// while the floor allows it and readmits them. The service's owner runs it on
/// the reports of the fleet; a VM that cannot reach the owner runs it on only
/// its own reports.
#pragma once

#include <optional>
#include <span>

#include "coordination/health/floor_rule.h"
#include "coordination/health/internal/observer_rates.h"
#include "coordination/health/internal/target_record.h"
#include "coordination/health/types/health_events.h"

namespace peridot {

/// State machine over health_event.
class service_health {
public:
  explicit service_health(service_health_options Options) : Options(Options) {}

  /// Applies the declared targets. Targets added to a configured service start
  /// on trial unless the floor needs them.
  health_decisions configure(const service &Declared, instant Now);
  /// Replaces all verdicts by \p Held, the ones that other VMs hold.
  health_decisions adopt(const service_verdicts &Held, instant Now);
  /// Starts the version numbers of a term, above \p Held if it has the same
  /// term.
  void beginTerm(epoch Epoch, verdict_version Held);

  health_decisions handle(const health_event &Event, instant Now);

  /// Current verdicts. Each change raises their version.
  const service_verdicts &verdicts() const { return Verdicts; }
  std::vector<vm_name> observers() const { return Rates.observers(); }
  unsigned floorSlotCount() const;
  unsigned servingSlotCount() const;

private:
  /// Data centre from which the targets are viewed; empty: the whole fleet.
  using data_center_view = std::optional<data_center_name>;

  void on(const report_received &Event, instant Now);
  void on(const drain_noticed &Event, instant Now);
  void on(const time_passed &Event, instant Now);

  void scorePeriod(double Seconds);
  samples_by_data_center
  samplesOf(target_record &Target, double Seconds,
            const std::map<data_center_name, double> &RequestsPerSecond) const;
  peer_shares peersOf(const target_record &Target,
                      const request_sample &OwnPeriod,
                      const request_sample &Period,
                      const request_sample &Recent) const;

  void evaluate(target_record &Target, instant Now);
  void evaluateServing(target_record &Target, instant Now);
  void evaluateTrial(target_record &Target, instant Now);
  void expireAvoidance(target_record &Target, instant Now);
  /// Whether the evidence against \p Target reaches the ejection threshold.
  bool hasEjectionEvidence(const target_record &Target) const;
  /// Opens the confirmation window at the first call.
  /// \returns whether later evidence confirms the suspicion.
  bool confirmSuspicion(target_record &Target);
  void eject(target_record &Target, instant Now);
  void avoidLink(target_record &Target, const data_center_name &From,
                 instant Now);
  /// Records once per suspicion that the floor prevents an ejection.
  void withhold(target_record &Target);
  /// Returns ejected targets and those on trial to service while the serving
  /// slots are below the floor, the longest in their state first. Ends
  /// avoidance in data centres below the floor.
  void restoreFloor(instant Now);
  bool keepsFloorWithout(const target_record &Target) const;
  /// Whether \p Slots more may stop serving in \p View.
  bool keepsFloorIn(const data_center_view &View, unsigned Slots) const;
  std::vector<target_capacity>
  targetCapacities(const data_center_view &View) const;

  verdict_evidence evidenceOf(const target_record &Target) const;
  target_record *find(target_id Id);
  void decide(health_decision Decision) {
    Decisions.push_back(std::move(Decision));
  }
  /// Updates the verdicts and their version and takes the new decisions.
  health_decisions takeDecisions();

  service_health_options Options;
  detection_options Detection;
  unsigned FloorPercent = 0;
  bool Configured = false;
  std::vector<target_record> Targets;
  observer_rates Rates;
  std::optional<instant> ScoredAt;
  service_verdicts Verdicts;
  health_decisions Decisions;
};

} // namespace peridot
