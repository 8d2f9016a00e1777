/// \file
/// Service whose detector handles generated reports.
#pragma once

#include <doctest/doctest.h>

#include "coordination/health/service_health.h"

namespace peridot::test {

/// Six targets with three slots each, observed from three data centres.
struct service_health_fixture {
  static constexpr unsigned TargetCount = 6;
  static constexpr duration Period = std::chrono::milliseconds(500);

  service_health_fixture() { begin({}); }

  void begin(service_health_options Options) {
    Detector = service_health(Options);
    Service.Name = service_name("hive");
    Service.FloorPercent = 50;
    Service.Ejection = ejection_mode::Fast;
    Service.Targets.clear();
    for (unsigned Index = 0; Index < TargetCount; ++Index)
      Service.Targets.push_back({.Name = nameOfTarget(Index)});
    Detector.configure(Service, Now);
  }

  static target_name nameOfTarget(unsigned Index) {
    return target_name("hive-" + std::to_string(Index));
  }

  /// Handles one period's report of one VM in each of \p DataCenters.
  void report(const std::vector<std::string> &DataCenters,
              const std::vector<target_counts> &Targets,
              std::uint64_t Requests = 60) {
    for (const std::string &Name : DataCenters)
      record(
          Detector.handle(report_received{.Observer = vm_name("vm-" + Name),
                                          .DataCenter = data_center_name(Name),
                                          .Report = {.Service = Service.Name,
                                                     .Period = Period,
                                                     .Requests = Requests,
                                                     .Targets = Targets}},
                          Now));
  }

  void advance(duration Time = Period) {
    Now += Time;
    record(Detector.handle(time_passed{}, Now));
  }

  void record(health_decisions Decisions) {
    AllDecisions.insert(AllDecisions.end(), Decisions.begin(), Decisions.end());
  }

  template <typename Decision> unsigned count() const {
    return static_cast<unsigned>(
        std::ranges::count_if(AllDecisions, [](const health_decision &Each) {
          return std::holds_alternative<Decision>(Each);
        }));
  }

  verdict_state stateOf(unsigned Index) const {
    for (const target_verdict &Verdict : Detector.verdicts().Targets)
      if (Verdict.Target == nameOfTarget(Index))
        return Verdict.State;
    return verdict_state::Serving;
  }

  static target_counts failing(unsigned Index, std::uint32_t Failures,
                               std::uint32_t Requests = 10) {
    return {.Target = targetIdOf(nameOfTarget(Index)),
            .Requests = Requests,
            .Failures = Failures};
  }

  /// Reports failures until the target no longer serves, at most 20 times.
  void makeFailing(unsigned Index) {
    for (int Round = 0; Round < 20 && stateOf(Index) == verdict_state::Serving;
         ++Round) {
      report(AllDataCenters, {failing(Index, 6)});
      advance();
    }
  }

  const std::vector<std::string> AllDataCenters{"a", "b", "c"};
  service Service;
  service_health Detector{service_health_options{}};
  instant Now = instant{} + std::chrono::hours(1);
  health_decisions AllDecisions;
};

} // namespace peridot::test
