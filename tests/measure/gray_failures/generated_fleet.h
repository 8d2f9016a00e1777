/// \file
/// Generates observations of a service's targets and feeds them to detectors.
#pragma once

#include <random>
#include <set>

#include "coordination/health/evidence_collector.h"
#include "coordination/health/service_health.h"
#include "coordination/health/verdict_store.h"

namespace peridot::measure {

/// Size of one service and of the fleet before it.
struct fleet_size {
  std::string Name;
  unsigned Vms = 0;
  unsigned DataCenters = 3;
  unsigned Targets = 0;
  double RequestsPerTarget = 20; ///< Per second, from all VMs together.
};

/// How one target is ill.
struct illness {
  std::string Name;
  double FailShare = 0;
  double SlowShare = 0; ///< Requests that take ten times as long.
  bool OneDataCenter = false;
  bool AllTargets = false;
  duration FlapPeriod{0}; ///< Ill and well in turn for this long; 0: always.
};

/// Ejects at a VM after consecutive failures there, for a fixed time.
class naive_detector {
public:
  static constexpr unsigned ConsecutiveFailures = 5;
  static constexpr duration EjectionTime = std::chrono::seconds(30);

  /// True if this attempt ejects.
  bool observe(bool Failed, instant Now);
  bool isEjected(instant Now) const { return Now < EjectedUntil; }

private:
  unsigned InARow = 0;
  instant EjectedUntil{};
};

/// What happened to one target.
struct target_history {
  std::vector<instant> Ejections;
  std::vector<instant> Avoidances;
  /// Ejections at single VMs by the naive detector.
  std::vector<instant> NaiveEjections;
  std::set<unsigned> NaiveVms;
  /// When half of the VMs had ejected it.
  std::optional<instant> NaiveHalf;
  std::uint64_t BadRequests = 0;
  std::uint64_t NaiveBadRequests = 0;
};

/// One service, its observers and its owner. Target 0 gets the illness.
class generated_fleet {
public:
  generated_fleet(fleet_size Size, service_health_options Options,
                  unsigned Seed);

  /// Generates for \p Time with target 0 ill as given.
  void run(duration Time, const illness &Illness);

  instant now() const { return Now; }
  const target_history &history(unsigned Target) const {
    return Histories[Target];
  }

private:
  static constexpr duration Step = std::chrono::milliseconds(500);

  struct vm {
    data_center_name DataCenter;
    evidence_collector Collector;
    std::vector<naive_detector> Naive;
  };

  void step(const illness &Illness, instant IllSince);
  void sendRequests(unsigned Vm, const illness &Illness, bool IllNow);
  attempt_observation attempt(unsigned Vm, unsigned Target,
                              const illness &Illness, bool IllNow);
  std::optional<unsigned> choose(const data_center_name &From);
  void record(const health_decisions &Decisions);
  void recordNaive(unsigned Vm, unsigned Target, bool Failed);
  double uniform() { return std::uniform_real_distribution<>()(Random); }

  fleet_size Size;
  service Service;
  service_health Owner;
  std::vector<vm> Vms;
  std::vector<target_history> Histories;
  std::vector<target_verdict> Verdicts; ///< One for each target.
  std::mt19937 Random;
  instant Now = instant{} + std::chrono::hours(1);
};

/// Bytes per second that the reports of one VM of the target size take, frames
/// included.
double reportBytesPerSecond(const collector_options &Options, unsigned Services,
                            unsigned Seed);

} // namespace peridot::measure
