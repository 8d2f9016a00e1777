/// \file
/// Detector of one service: adds up evidence, ejects under the floor and
/// readmits. The service's owner runs it over the fleet's reports; a VM that
/// cannot reach the owner runs it over its own.
#pragma once

#include <optional>
#include <span>

#include "coordination/health/floor_rule.h"
#include "coordination/health/internal/observer_rates.h"
#include "coordination/health/internal/target_record.h"
#include "coordination/health/types/health_events.h"

namespace peridot {

/// Machine over health_event.
class service_health {
public:
  explicit service_health(service_health_options Options) : Options(Options) {}

  /// Takes in the declared targets. Targets that are new to a known service
  /// start with a trickle, as far as the floor allows.
  health_decisions configure(const service &Declared, instant Now);
  /// Continues from verdicts that others hold; keeps none of its own.
  health_decisions adopt(const service_verdicts &Held, instant Now);
  /// Starts the versions of a term, above \p Held where that is of this term.
  void beginTerm(epoch Epoch, verdict_version Held);

  health_decisions handle(const health_event &Event, instant Now);

  /// Verdicts to be in force; their version grows with each change.
  const service_verdicts &verdicts() const { return Verdicts; }
  std::vector<vm_name> observers() const { return Rates.observers(); }
  unsigned floorSlotCount() const;
  unsigned servingSlotCount() const;

private:
  using data_center_view = std::optional<data_center_name>;

  void on(const report_received &Event, instant Now);
  void on(const drain_noticed &Event, instant Now);
  void on(const time_passed &Event, instant Now);

  void scorePeriod(double Seconds);
  samples_by_data_center
  samplesOf(target_record &Target, double Seconds,
            const std::map<data_center_name, double> &Rates) const;
  peer_shares peersOf(const target_record &Target,
                      const request_sample &OfTarget,
                      const request_sample &Period,
                      const request_sample &Recent) const;

  void judge(target_record &Target, instant Now);
  void judgeServing(target_record &Target, instant Now);
  void judgeTrial(target_record &Target, instant Now);
  void expireAvoidance(target_record &Target, instant Now);
  bool isAccused(const target_record &Target) const;
  bool passesSecondLook(target_record &Target);
  void eject(target_record &Target, instant Now);
  void avoidLink(target_record &Target, const data_center_name &From,
                 instant Now);
  void withhold(target_record &Target);
  /// Returns ejected targets to service while the floor is broken.
  void restoreFloor(instant Now);
  bool keepsFloorWithout(const target_record &Target) const;
  bool keepsFloorIn(const data_center_view &View, unsigned Slots) const;
  std::vector<slot_holder> holders(const data_center_view &View) const;

  verdict_evidence evidenceOf(const target_record &Target) const;
  target_record *find(target_id Id);
  void decide(health_decision Decision) {
    Decisions.push_back(std::move(Decision));
  }
  health_decisions finish();

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
