/// \file
/// A service whose detector is fed generated reports.
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
    Machine = service_health(Options);
    Service.Name = service_name("hive");
    Service.FloorPercent = 50;
    Service.Ejection = ejection_mode::Fast;
    Service.Targets.clear();
    for (unsigned Index = 0; Index < TargetCount; ++Index)
      Service.Targets.push_back({.Name = nameOfTarget(Index)});
    Machine.configure(Service, Now);
  }

  static target_name nameOfTarget(unsigned Index) {
    return target_name("hive-" + std::to_string(Index));
  }

  /// One period's report of one VM in each of \p DataCenters.
  void report(const std::vector<std::string> &DataCenters,
              const std::vector<target_counts> &Targets,
              std::uint64_t Requests = 60) {
    for (const std::string &Name : DataCenters)
      keep(Machine.handle(report_received{.Observer = vm_name("vm-" + Name),
                                          .DataCenter = data_center_name(Name),
                                          .Report = {.Service = Service.Name,
                                                     .Period = Period,
                                                     .Requests = Requests,
                                                     .Targets = Targets}},
                          Now));
  }

  void pass(duration Time = Period) {
    Now += Time;
    keep(Machine.handle(time_passed{}, Now));
  }

  void keep(health_decisions Decisions) {
    All.insert(All.end(), Decisions.begin(), Decisions.end());
  }

  template <typename Decision> unsigned count() const {
    return static_cast<unsigned>(
        std::ranges::count_if(All, [](const health_decision &Each) {
          return std::holds_alternative<Decision>(Each);
        }));
  }

  verdict_state stateOf(unsigned Index) const {
    for (const target_verdict &Verdict : Machine.verdicts().Targets)
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

  /// Reports until the target leaves \p State; bounded.
  void makeIll(unsigned Index) {
    for (int Round = 0; Round < 20 && stateOf(Index) == verdict_state::Serving;
         ++Round) {
      report(AllDataCenters, {failing(Index, 6)});
      pass();
    }
  }

  const std::vector<std::string> AllDataCenters{"a", "b", "c"};
  service Service;
  service_health Machine{service_health_options{}};
  instant Now = instant{} + std::chrono::hours(1);
  health_decisions All;
};

} // namespace peridot::test
