/// \file
/// Generates observations of a service's targets and passes them to the
/// detectors.
#pragma once

#include <random>
#include <set>

#include "coordination/health/evidence_collector.h"
#include "coordination/health/service_health.h"
#include "coordination/health/verdict_store.h"

namespace peridot::measure {

/// Size of one service and of the fleet that proxies it.
struct fleet_size {
  std::string Name;
  unsigned Vms = 0;
  unsigned DataCenters = 3;
  unsigned Targets = 0;
  double RequestsPerTarget = 20; ///< Per second, in total from all VMs.
};

/// Fault of target 0, or of all targets.
struct fault_profile {
  std::string Name;
  double FailProbability = 0;
  double SlowProbability = 0; ///< Probability of a latency ten times as long.
  bool AffectsOneDataCenter = false; ///< Only requests from the first one.
  bool AffectsAllTargets = false;
  /// Length of the alternating failing and healthy periods; 0: always failing.
  duration FlapPeriod{0};
};

/// Ejects a target at one VM for a fixed time after consecutive failures there.
class naive_detector {
public:
  static constexpr unsigned ConsecutiveFailures = 5;
  static constexpr duration EjectionTime = std::chrono::seconds(30);

  /// Records an attempt. Returns whether it ejects the target.
  bool observe(bool Failed, instant Now);
  bool isEjected(instant Now) const { return Now < EjectedUntil; }

private:
  unsigned FailuresInARow = 0;
  instant EjectedUntil{};
};

/// Ejections and failed requests of one target.
struct target_history {
  std::vector<instant> Ejections;
  std::vector<instant> Avoidances;
  /// Ejections at single VMs by the naive detector.
  std::vector<instant> NaiveEjections;
  std::set<unsigned> NaiveEjectingVms;
  /// When the naive detectors of half of the VMs had ejected the target.
  std::optional<instant> NaiveHalfAt;
  std::uint64_t FailedRequests = 0;
  std::uint64_t NaiveFailedRequests = 0;
};

/// One service, its observers and its owner. Faults affect target 0 or all
/// targets.
class generated_fleet {
public:
  generated_fleet(fleet_size Size, service_health_options Options,
                  unsigned Seed);

  /// Generates requests for \p Time while \p Profile is in effect.
  void run(duration Time, const fault_profile &Profile);

  instant now() const { return Now; }
  const target_history &history(unsigned Target) const {
    return Histories[Target];
  }

private:
  static constexpr duration Step = std::chrono::milliseconds(500);

  struct vm {
    data_center_name DataCenter;
    evidence_collector Collector;
    std::vector<naive_detector> NaiveDetectors;
  };

  void step(const fault_profile &Profile, instant FaultStart);
  void sendRequests(unsigned Vm, const fault_profile &Profile,
                    bool IsFaultActive);
  attempt_observation attempt(unsigned Vm, unsigned Target,
                              const fault_profile &Profile, bool IsFaultActive);
  std::optional<unsigned> chooseTarget(const data_center_name &From);
  void recordDecisions(const health_decisions &Decisions);
  void recordNaive(unsigned Vm, unsigned Target, bool Failed);
  double uniform() { return std::uniform_real_distribution<>()(Random); }

  fleet_size Size;
  service Service;
  service_health Owner;
  std::vector<vm> Vms;
  std::vector<target_history> Histories;
  std::vector<target_verdict> Verdicts; ///< By target index.
  std::mt19937 Random;
  instant Now = instant{} + std::chrono::hours(1);
};

/// Returns the bytes per second, including frames, of the reports that one VM
/// sends in a fleet of the designed size.
double reportBytesPerSecond(const collector_options &Options, unsigned Services,
                            unsigned Seed);

} // namespace peridot::measure
