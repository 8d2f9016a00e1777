#include "coordination/load_balancing/attempt_counts.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Time in which a count decays to 37%.
constexpr std::chrono::duration<double> DecayTime(2);

} // namespace

double attempt_counts::decayFactor(instant Now) const {
  const std::chrono::duration<double> Age(Now - UpdatedAt);
  return std::exp(-std::max(Age / DecayTime, 0.0));
}

void attempt_counts::note(attempt_end End, instant Now) {
  if (End == attempt_end::Cancelled)
    return;
  const double Decay = decayFactor(Now);
  Attempts = Attempts * Decay + 1;
  Failures = Failures * Decay + (End == attempt_end::Responded ? 0 : 1);
  UpdatedAt = std::max(UpdatedAt, Now);
}

} // namespace peridot
