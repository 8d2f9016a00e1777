/// \file
/// Counts a VM's attempts per target and reports failed requests and requests
/// far slower than the service's typical latency.
#pragma once

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/health/types/attempt_observation.h"
#include "coordination/health/types/health_report.h"

namespace peridot {

/// Limits on the reports of one VM.
struct collector_options {
  /// Maximum time between reports on a service that gets requests.
  duration QuietPeriod = std::chrono::seconds(60);
  /// Maximum average rate of all reports together.
  double BytesPerSecond = 200;
  /// Maximum number of bytes sent at once after a time with few reports.
  double BurstBytes = 4'096;
  /// Assumed size of a report, and of each target in it.
  double ReportBytes = 140;
  double TargetBytes = 16;
};

/// Running estimate of a service's median latency. Each sample moves it by a
/// small step.
class latency_median {
public:
  /// Adds \p Latency to the estimate.
  /// \returns whether it was far above the previous estimate.
  bool observe(duration Latency);

private:
  double MedianNs = 0;
  unsigned Samples = 0;
};

/// Collects the evidence of one VM. Used on its control thread only.
class evidence_collector {
public:
  /// Whether a target is on trial, so that its good requests are reported too.
  using trial_check = std::function<bool(const target_name &)>;

  evidence_collector() = default;
  explicit evidence_collector(collector_options Options) : Options(Options) {}

  /// Counts \p Attempts.
  /// \returns the attempts in which the target announced that it is draining.
  std::vector<attempt_observation>
  observe(std::span<const attempt_observation> Attempts, instant Now,
          const trial_check &OnTrial);

  /// Takes the due reports, most bad requests first, while the byte budget
  /// lasts. Services left out keep their counts.
  std::vector<service_report> takeReports(instant Now);

  /// Marks every service as due for a report, for example after a change of
  /// owner.
  void reportAll();

private:
  struct service_counts {
    latency_median TypicalLatency;
    instant Since{};
    std::uint64_t Requests = 0;
    std::uint64_t Bad = 0;
    bool IsReportDue = false;
    /// Counts since a target's first bad request. If the report is delayed, it
    /// includes the good requests between several bad ones.
    std::unordered_map<target_name, target_counts> ReportedTargets;
  };

  void count(service_counts &Counts, const attempt_observation &Attempt,
             bool OnTrial);
  service_report takeReport(const service_name &Name, service_counts &Counts,
                            instant Now);
  void refillBudget(instant Now);

  collector_options Options;
  double ByteBudget = 0;
  instant BudgetUpdatedAt{};
  std::unordered_map<service_name, service_counts> Services;
};

} // namespace peridot
