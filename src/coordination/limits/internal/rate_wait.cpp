#include "coordination/limits/rate_wait.h"

namespace peridot {

bool rate_wait::goesOn(const rate_refused &Refused, instant Now) const {
  return Refused.ShareRequested && Now - StartedAt < Refused.Patience;
}

rate_question rate_wait::next(const rate_refused &Refused, instant Now) {
  if (Now - LastRequestAt < Refused.AskAgainAfter)
    return rate_question::Look;
  LastRequestAt = Now;
  return rate_question::Repeat;
}

} // namespace peridot
