/// \file
/// The observer's side: counts attempts per target and reports what departs
/// from the service's usual.
#pragma once

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/health/types/attempt_observation.h"
#include "coordination/health/types/health_report.h"

namespace peridot {

/// Settings of one VM's reports.
struct collector_options {
  /// Longest time without a report on a service that gets requests.
  duration QuietPeriod = std::chrono::seconds(60);
  /// Bytes per second that all reports together may take, on average.
  double BytesPerSecond = 200;
  /// Bytes that may be sent at once after a calm time.
  double BurstBytes = 4'096;
  /// Size that one report is taken to have, and each target in it.
  double ReportBytes = 140;
  double TargetBytes = 16;
};

/// Median of a service's latencies, moved a small step by each sample.
class latency_median {
public:
  /// True when \p Latency is far above the usual; then takes it in.
  bool observe(duration Latency);

private:
  double Nanoseconds = 0;
  unsigned Samples = 0;
};

/// Counts of one VM; lives on its control thread.
class evidence_collector {
public:
  /// True for targets that are reported even when they do well.
  using trial_check = std::function<bool(const target_name &)>;

  evidence_collector() = default;
  explicit evidence_collector(collector_options Options) : Options(Options) {}

  /// Takes in attempts; \returns targets that newly said that they leave.
  std::vector<attempt_observation>
  observe(std::span<const attempt_observation> Attempts, instant Now,
          const trial_check &OnTrial);

  /// Reports that are due, the ones with most bad requests first, as far as
  /// the byte budget allows. Services that miss out keep their counts.
  std::vector<service_report> takeReports(instant Now);

  /// Makes a report on every service due, as after a change of owner.
  void reportAll();

private:
  struct service_counts {
    latency_median Usual;
    instant Since{};
    std::uint64_t Requests = 0;
    std::uint64_t Bad = 0;
    bool Due = false;
    /// Counts since a target's first bad request, so that a late report of
    /// several bad requests also tells the good ones between them.
    std::unordered_map<target_name, target_counts> Departing;
  };

  void count(service_counts &Counts, const attempt_observation &Attempt,
             bool OnTrial);
  service_report takeReport(const service_name &Name, service_counts &Counts,
                            instant Now);
  void refillBudget(instant Now);

  collector_options Options;
  double Budget = 0;
  instant BudgetAt{};
  std::unordered_map<service_name, service_counts> Services;
};

} // namespace peridot
