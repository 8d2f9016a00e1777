#include "transport/node/internal/burn_driver.h"

namespace peridot {

namespace {

constexpr std::chrono::seconds ReadPeriod{10};

} // namespace

void burn_driver::start() {
  Timer = Context.Timers.every(ReadPeriod,
                               [this](instant Now) { readCounters(Now); });
}

std::vector<subject_burn> burn_driver::read() {
  const instant Now = Context.Timers.now();
  readCounters(Now);
  return Ledger.read(Now);
}

void burn_driver::readCounters(instant Now) {
  for (const counter_reading &Reading : Context.Metrics.readCounters()) {
    if (Reading.Name.Metric != RequestsMetric)
      continue;
    const auto Series = parseRequestLabels(Reading.Name.Labels);
    if (!Series)
      continue;
    std::uint64_t &LastValue = LastValues[Reading.Name];
    const std::uint64_t Increase = Reading.Value - LastValue;
    LastValue = Reading.Value;
    if (Increase == 0)
      continue;
    const request_totals PerRequest = errorBudgetImpact(Series->End);
    if (PerRequest != request_totals{})
      Ledger.add(Series->Subject,
                 {Increase * PerRequest.Good, Increase * PerRequest.Bad}, Now);
  }
}

} // namespace peridot
