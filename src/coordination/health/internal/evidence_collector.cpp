#include "coordination/health/evidence_collector.h"

#include <algorithm>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// An answer is slow above this multiple of the service's median.
constexpr double SlowRatio = 4;
/// Nothing is slow below this, whatever the median.
constexpr double SlowestUsualNs = 5e6;
/// Answers needed before any is called slow.
constexpr unsigned MedianSamples = 30;
constexpr double MedianStep = 1.03;
constexpr double FirstSteps = 1.2;

bool isFailure(attempt_end End) {
  return End == attempt_end::AnsweredError ||
         End == attempt_end::ConnectFailed || End == attempt_end::TimedOut ||
         End == attempt_end::Broken;
}

/// Refusals and cancelled requests say nothing about the target's health.
bool isEvidence(attempt_end End) {
  return End != attempt_end::Shed && End != attempt_end::Cancelled;
}

} // namespace

target_id targetIdOf(const target_name &Target) {
  constexpr std::uint64_t IdMask = 0xFFFFFFFFU;
  return {rendezvousWeight("target", Target.view()) & IdMask};
}

bool latency_median::observe(duration Latency) {
  const auto Sample = static_cast<double>(Latency.count());
  if (Samples == 0)
    Nanoseconds = Sample;
  const bool Slow = Samples >= MedianSamples && Sample > SlowestUsualNs &&
                    Sample > SlowRatio * Nanoseconds;
  const double Step = Samples < MedianSamples ? FirstSteps : MedianStep;
  Nanoseconds = Sample > Nanoseconds ? Nanoseconds * Step : Nanoseconds / Step;
  Samples = std::min(Samples + 1, MedianSamples);
  return Slow;
}

std::vector<attempt_observation>
evidence_collector::observe(std::span<const attempt_observation> Attempts,
                            instant Now, const trial_check &OnTrial) {
  std::vector<attempt_observation> Leaving;
  for (const attempt_observation &Attempt : Attempts) {
    if (Attempt.Signal == target_signal::Draining)
      Leaving.push_back(Attempt);
    if (!isEvidence(Attempt.End))
      continue;
    service_counts &Counts = Services[Attempt.Service];
    if (Counts.Since == instant{}) {
      Counts.Since = Now;
      Counts.Due = true;
    } else if (Counts.Requests == 0) {
      Counts.Since = std::max(Counts.Since, Now - Options.QuietPeriod);
    }
    count(Counts, Attempt, OnTrial(Attempt.Target));
  }
  return Leaving;
}

void evidence_collector::count(service_counts &Counts,
                               const attempt_observation &Attempt,
                               bool OnTrial) {
  const bool Failed = isFailure(Attempt.End);
  const bool Slow = !Failed && Counts.Usual.observe(Attempt.Latency);
  ++Counts.Requests;
  Counts.Bad += Failed || Slow ? 1 : 0;
  if (!Failed && !Slow && !OnTrial &&
      !Counts.Departing.contains(Attempt.Target))
    return;
  target_counts &Target = Counts.Departing[Attempt.Target];
  ++Target.Requests;
  Target.Failures += Failed ? 1 : 0;
  Target.Slow += Slow ? 1 : 0;
}

void evidence_collector::reportAll() {
  for (auto &[Name, Counts] : Services)
    Counts.Due = true;
}

void evidence_collector::refillBudget(instant Now) {
  const double Seconds = std::chrono::duration<double>(Now - BudgetAt).count();
  Budget =
      std::min(Options.BurstBytes, Budget + Seconds * Options.BytesPerSecond);
  BudgetAt = Now;
}

std::vector<service_report> evidence_collector::takeReports(instant Now) {
  refillBudget(Now);
  using entry = std::pair<const service_name, service_counts>;
  std::vector<entry *> Due;
  for (entry &Entry : Services) {
    service_counts &Counts = Entry.second;
    if (!Counts.Departing.empty() || Counts.Due ||
        (Counts.Requests > 0 && Now - Counts.Since >= Options.QuietPeriod))
      Due.push_back(&Entry);
  }
  std::ranges::sort(Due, [](const entry *Left, const entry *Right) {
    return Left->second.Bad > Right->second.Bad;
  });
  std::vector<service_report> Reports;
  for (entry *Entry : Due) {
    const double Size = Options.ReportBytes +
                        Options.TargetBytes *
                            static_cast<double>(Entry->second.Departing.size());
    if (Budget < Size)
      break;
    Budget -= Size;
    Reports.push_back(takeReport(Entry->first, Entry->second, Now));
  }
  return Reports;
}

service_report evidence_collector::takeReport(const service_name &Name,
                                              service_counts &Counts,
                                              instant Now) {
  service_report Report{.Service = Name,
                        .Period = Now - Counts.Since,
                        .Requests = Counts.Requests};
  for (auto &[Target, Seen] : Counts.Departing) {
    Seen.Target = targetIdOf(Target);
    Report.Targets.push_back(Seen);
  }
  Counts = service_counts{.Usual = Counts.Usual, .Since = Now};
  return Report;
}

} // namespace peridot
