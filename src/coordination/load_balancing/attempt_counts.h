/// \file
/// Counts of recent attempts and of their failures.
#pragma once

#include "coordination/health/types/attempt_observation.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Exponentially decaying counts; not thread-safe.
class attempt_counts {
public:
  void note(attempt_end End, instant Now);
  double attempts(instant Now) const { return Attempts * decayFactor(Now); }
  double failures(instant Now) const { return Failures * decayFactor(Now); }

private:
  /// Fraction of the counts that remains at \p Now.
  double decayFactor(instant Now) const;

  double Attempts = 0;
  double Failures = 0;
  instant UpdatedAt{};
};

} // namespace peridot
