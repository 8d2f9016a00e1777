#include "measure/gray_failures/trials.h"

#include <algorithm>

namespace peridot::measure {

namespace {

using namespace std::chrono_literals;

constexpr unsigned Runs = 20;
constexpr unsigned FirstSeed = 20261204;
constexpr duration WarmUp = 90s;
constexpr duration DetectionTimeout = 180s;
constexpr duration HealthyTime = 1h;
constexpr unsigned HealthyRuns = 4;
constexpr duration FlapTime = 20min;
const fault_profile NoFault{};

/// Detection delays of several runs; a run without detection counts as missed.
struct detection_delays {
  std::vector<double> Seconds;
  unsigned Missed = 0;

  void add(std::optional<instant> At, instant Since) {
    if (At)
      Seconds.push_back(std::chrono::duration<double>(*At - Since).count());
    else
      ++Missed;
  }
  /// Returns -1 if no run detected the fault.
  double quantile(double Fraction) {
    if (Seconds.empty())
      return -1;
    std::ranges::sort(Seconds);
    const auto Index = static_cast<std::size_t>(
        Fraction * static_cast<double>(Seconds.size() - 1));
    return Seconds[Index];
  }
};

std::optional<instant> firstAfter(const std::vector<instant> &Events,
                                  instant Since) {
  const auto Found =
      std::ranges::find_if(Events, [Since](instant At) { return At >= Since; });
  return Found == Events.end() ? std::nullopt : std::optional(*Found);
}

/// Whether both detectors have detected the fault of target 0.
bool isDetectedByBoth(const generated_fleet &Fleet, instant Since) {
  const target_history &History = Fleet.history(0);
  return firstAfter(History.Ejections, Since) && History.NaiveHalfAt;
}

} // namespace

void printDetection(std::ostream &Out, const fleet_size &Size,
                    const named_detection &Detection,
                    std::span<const fault_profile> Profiles) {
  for (const fault_profile &Profile : Profiles) {
    detection_delays Ejected;
    detection_delays Avoided;
    detection_delays Naive;
    unsigned OtherEjections = 0;
    for (unsigned Run = 0; Run < Runs; ++Run) {
      generated_fleet Fleet(Size, {.Detection = Detection.Options},
                            FirstSeed + Run);
      Fleet.run(WarmUp, NoFault);
      const instant Since = Fleet.now();
      while (Fleet.now() < Since + DetectionTimeout &&
             !isDetectedByBoth(Fleet, Since))
        Fleet.run(5s, Profile);
      Ejected.add(firstAfter(Fleet.history(0).Ejections, Since), Since);
      Avoided.add(firstAfter(Fleet.history(0).Avoidances, Since), Since);
      Naive.add(Fleet.history(0).NaiveHalfAt, Since);
      for (unsigned Other = 1; Other < Size.Targets; ++Other)
        OtherEjections +=
            static_cast<unsigned>(Fleet.history(Other).Ejections.size());
    }
    Out << "detection," << Size.Name << ',' << Detection.Name << ','
        << Profile.Name << ',' << Ejected.quantile(0.5) << ','
        << Ejected.quantile(0.95) << ',' << Ejected.Missed << ','
        << Avoided.quantile(0.5) << ',' << Avoided.Missed << ','
        << OtherEjections << ',' << Naive.quantile(0.5) << ',' << Naive.Missed
        << std::endl;
  }
}

void printFalseEjections(std::ostream &Out, const fleet_size &Size,
                         const named_detection &Detection) {
  std::size_t Ejections = 0;
  std::size_t Avoidances = 0;
  std::size_t Naive = 0;
  for (unsigned Run = 0; Run < HealthyRuns; ++Run) {
    generated_fleet Fleet(Size, {.Detection = Detection.Options},
                          FirstSeed + Run);
    Fleet.run(HealthyTime, NoFault);
    for (unsigned Index = 0; Index < Size.Targets; ++Index) {
      Ejections += Fleet.history(Index).Ejections.size();
      Avoidances += Fleet.history(Index).Avoidances.size();
      Naive += Fleet.history(Index).NaiveEjections.size();
    }
  }
  const double TargetHours =
      std::chrono::duration<double, std::ratio<3600>>(HealthyTime).count() *
      HealthyRuns * Size.Targets;
  Out << "false," << Size.Name << ',' << Detection.Name << ',' << TargetHours
      << ',' << static_cast<double>(Ejections) / TargetHours << ','
      << static_cast<double>(Avoidances) / TargetHours << ','
      << static_cast<double>(Naive) / TargetHours << '\n';
}

void printFlapping(std::ostream &Out, const fleet_size &Size,
                   const named_detection &Detection) {
  generated_fleet Fleet(Size, {.Detection = Detection.Options}, FirstSeed);
  Fleet.run(WarmUp, NoFault);
  Fleet.run(FlapTime,
            {.Name = "flapping", .FailProbability = 0.3, .FlapPeriod = 30s});
  const target_history &History = Fleet.history(0);
  Out << "flapping," << Size.Name << ',' << Detection.Name << ','
      << History.Ejections.size() << ',' << History.FailedRequests << ','
      << History.NaiveEjections.size() << ',' << History.NaiveFailedRequests
      << '\n';
}

} // namespace peridot::measure
