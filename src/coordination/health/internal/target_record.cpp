#include "coordination/health/internal/target_record.h"

#include <algorithm>

namespace peridot {

void target_record::enter(verdict_state Next, instant Now) {
  State = Next;
  Since = Now;
  Suspected = false;
  WithheldReported = false;
  GoodTrialRequests = 0;
  Evidence.reset();
}

double target_record::withBackoff(double Base,
                                  const readmission_options &Options) const {
  const unsigned Doublings =
      std::min(Relapses == 0 ? 0 : Relapses - 1, Options.MaxDoublings);
  return Base * static_cast<double>(1U << Doublings);
}

} // namespace peridot
