#include "coordination/health/evidence_collector.h"

#include <algorithm>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// A response is slow above this multiple of the service's median latency.
constexpr double SlowRatio = 4;
/// Latencies up to this are never slow, whatever the median.
constexpr double MinSlowLatencyNs = 5e6;
/// Samples needed before a response can be classified as slow.
constexpr unsigned WarmupSamples = 30;
/// Factor by which a sample moves the median, after and during warm-up.
constexpr double MedianStep = 1.03;
constexpr double WarmupStep = 1.2;

bool isFailure(attempt_end End) {
  return End == attempt_end::RespondedError ||
         End == attempt_end::ConnectFailed || End == attempt_end::TimedOut ||
         End == attempt_end::Broken;
}

/// Refused and cancelled requests are no evidence about the target's health.
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
    MedianNs = Sample;
  const bool Slow = Samples >= WarmupSamples && Sample > MinSlowLatencyNs &&
                    Sample > SlowRatio * MedianNs;
  const double Step = Samples < WarmupSamples ? WarmupStep : MedianStep;
  MedianNs = Sample > MedianNs ? MedianNs * Step : MedianNs / Step;
  Samples = std::min(Samples + 1, WarmupSamples);
  return Slow;
}

std::vector<attempt_observation>
evidence_collector::observe(std::span<const attempt_observation> Attempts,
                            instant Now, const trial_check &OnTrial) {
  std::vector<attempt_observation> Draining;
  for (const attempt_observation &Attempt : Attempts) {
    if (Attempt.Signal == target_signal::Draining)
      Draining.push_back(Attempt);
    if (!isEvidence(Attempt.End))
      continue;
    service_counts &Counts = Services[Attempt.Service];
    if (Counts.Since == instant{}) {
      Counts.Since = Now;
      Counts.IsReportDue = true;
    } else if (Counts.Requests == 0) {
      Counts.Since = std::max(Counts.Since, Now - Options.QuietPeriod);
    }
    count(Counts, Attempt, OnTrial(Attempt.Target));
  }
  return Draining;
}

void evidence_collector::count(service_counts &Counts,
                               const attempt_observation &Attempt,
                               bool OnTrial) {
  const bool Failed = isFailure(Attempt.End);
  const bool Slow = !Failed && Counts.TypicalLatency.observe(Attempt.Latency);
  ++Counts.Requests;
  Counts.Bad += Failed || Slow ? 1 : 0;
  if (!Failed && !Slow && !OnTrial &&
      !Counts.ReportedTargets.contains(Attempt.Target))
    return;
  target_counts &Target = Counts.ReportedTargets[Attempt.Target];
  ++Target.Requests;
  Target.Failures += Failed ? 1 : 0;
  Target.Slow += Slow ? 1 : 0;
}

void evidence_collector::reportAll() {
  for (auto &[Name, Counts] : Services)
    Counts.IsReportDue = true;
}

void evidence_collector::refillBudget(instant Now) {
  const double Seconds =
      std::chrono::duration<double>(Now - BudgetUpdatedAt).count();
  ByteBudget = std::min(Options.BurstBytes,
                        ByteBudget + Seconds * Options.BytesPerSecond);
  BudgetUpdatedAt = Now;
}

std::vector<service_report> evidence_collector::takeReports(instant Now) {
  refillBudget(Now);
  using entry = std::pair<const service_name, service_counts>;
  std::vector<entry *> DueEntries;
  for (entry &Entry : Services) {
    service_counts &Counts = Entry.second;
    if (!Counts.ReportedTargets.empty() || Counts.IsReportDue ||
        (Counts.Requests > 0 && Now - Counts.Since >= Options.QuietPeriod))
      DueEntries.push_back(&Entry);
  }
  std::ranges::sort(DueEntries, [](const entry *Left, const entry *Right) {
    return Left->second.Bad > Right->second.Bad;
  });
  std::vector<service_report> Reports;
  for (entry *Entry : DueEntries) {
    const double Size =
        Options.ReportBytes +
        Options.TargetBytes *
            static_cast<double>(Entry->second.ReportedTargets.size());
    if (ByteBudget < Size)
      break;
    ByteBudget -= Size;
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
  for (auto &[Target, Seen] : Counts.ReportedTargets) {
    Seen.Target = targetIdOf(Target);
    Report.Targets.push_back(Seen);
  }
  Counts =
      service_counts{.TypicalLatency = Counts.TypicalLatency, .Since = Now};
  return Report;
}

} // namespace peridot
