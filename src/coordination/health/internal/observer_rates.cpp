#include "coordination/health/internal/observer_rates.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Longer than two of an observer's quiet periods.
constexpr std::chrono::seconds SilenceLimit{150};
/// Lower bound on the report period that a rate is computed from.
constexpr double MinPeriodSeconds = 0.5;
/// Time constant of the exponential smoothing.
constexpr double SmoothingSeconds = 10;

} // namespace

void observer_rates::record(const vm_name &Observer,
                            const data_center_name &DataCenter,
                            const service_report &Report, instant Now) {
  const double Seconds = std::max(
      MinPeriodSeconds, std::chrono::duration<double>(Report.Period).count());
  const double Measured = static_cast<double>(Report.Requests) / Seconds;
  const auto [Found, IsNew] = Observers.try_emplace(Observer);
  observer &Known = Found->second;
  const double Share = IsNew ? 1.0 : 1 - std::exp(-Seconds / SmoothingSeconds);
  Known.DataCenter = DataCenter;
  Known.RequestsPerSecond += (Measured - Known.RequestsPerSecond) * Share;
  Known.LastReportAt = Now;
}

void observer_rates::expire(instant Now) {
  std::erase_if(Observers, [Now](const auto &Entry) {
    return Now - Entry.second.LastReportAt > SilenceLimit;
  });
}

std::map<data_center_name, double> observer_rates::byDataCenter() const {
  std::map<data_center_name, double> Rates;
  for (const auto &[Vm, Observer] : Observers)
    Rates[Observer.DataCenter] += Observer.RequestsPerSecond;
  return Rates;
}

std::vector<vm_name> observer_rates::observers() const {
  std::vector<vm_name> Names;
  Names.reserve(Observers.size());
  for (const auto &[Vm, Observer] : Observers)
    Names.push_back(Vm);
  return Names;
}

} // namespace peridot
