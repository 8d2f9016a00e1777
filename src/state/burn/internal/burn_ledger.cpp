#include "state/burn/burn_ledger.h"

namespace peridot {

namespace {

/// Burn rate that spends a 30-day budget in about two days.
constexpr double FastBurn = 14.4;
/// Burn rate that spends a 30-day budget in five days.
constexpr double SlowBurn = 6.0;

std::int64_t minuteOf(instant At) {
  return std::chrono::duration_cast<std::chrono::minutes>(At.time_since_epoch())
      .count();
}

} // namespace

request_totals &request_totals::operator+=(const request_totals &Other) {
  Good += Other.Good;
  Bad += Other.Bad;
  return *this;
}

std::string_view nameOf(burn_alert Alert) {
  switch (Alert) {
  case burn_alert::None:
    return "none";
  case burn_alert::Slow:
    return "slow";
  case burn_alert::Fast:
    return "fast";
  }
  return "unknown";
}

double burnRate(const request_totals &Totals, double Objective) {
  const auto All = static_cast<double>(Totals.Good + Totals.Bad);
  if (All == 0)
    return 0;
  return static_cast<double>(Totals.Bad) / All / (1 - Objective);
}

burn_alert evaluateBurnRate(const totals_by_window &Totals, double Objective) {
  const double Short = burnRate(Totals[0], Objective);
  const double Middle = burnRate(Totals[1], Objective);
  const double Long = burnRate(Totals[2], Objective);
  if (Short > FastBurn && Middle > FastBurn)
    return burn_alert::Fast;
  if (Middle > SlowBurn && Long > SlowBurn)
    return burn_alert::Slow;
  return burn_alert::None;
}

void burn_ledger::add(const burn_subject &Subject, const request_totals &Totals,
                      instant Now) {
  const std::int64_t Minute = minuteOf(Now);
  minute_totals &Slot =
      Rings[Subject][static_cast<std::size_t>(Minute) % MinutesKept];
  if (Slot.Minute != Minute)
    Slot = {.Minute = Minute};
  Slot.Totals += Totals;
}

request_totals burn_ledger::sum(const ring &Ring, std::int64_t Last,
                                std::chrono::minutes Window) {
  request_totals Total;
  for (const minute_totals &Slot : Ring)
    if (Slot.Minute >= 0 && Slot.Minute > Last - Window.count())
      Total += Slot.Totals;
  return Total;
}

std::vector<subject_burn> burn_ledger::read(instant Now) const {
  const std::int64_t Last = minuteOf(Now);
  std::vector<subject_burn> Rows;
  for (const auto &[Subject, Ring] : Rings) {
    subject_burn Row{.Subject = Subject};
    for (std::size_t Index = 0; Index < BurnWindows.size(); ++Index)
      Row.Totals[Index] = sum(Ring, Last, BurnWindows[Index]);
    if (Row.Totals.back() != request_totals{})
      Rows.push_back(std::move(Row));
  }
  return Rows;
}

} // namespace peridot
