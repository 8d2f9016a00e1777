#include "coordination/capacity/retry_reserve.h"

namespace peridot {

namespace {

/// Share of rejected attempts from which on much is rejected. At twice the
/// ratio that the budget pays for, it would be used up.
constexpr double MuchRejected = 0.15;
/// Fraction of the budget that is left to the more urgent half of requests.
constexpr double UrgentFraction = 0.5;

} // namespace

void retry_reserve::recordAttempt(bool IsRejected, instant Now) {
  Attempts.add(1, Now);
  Rejected.add(IsRejected ? 1 : 0, Now);
}

double retry_reserve::reservedFor(const urgency_class &Class,
                                  instant Now) const {
  const bool IsMuch = Rejected.value(Now) > MuchRejected * Attempts.value(Now);
  return IsMuch && Shares.fractionBefore(Class) > 0.5 ? UrgentFraction : 0;
}

} // namespace peridot
