#include "coordination/limits/rate_wait.h"

namespace peridot {

bool rate_wait::shouldContinue(const rate_refused &Refused, instant Now) const {
  return Refused.ShareRequested && Now - StartedAt < Refused.WaitLimit;
}

rate_check rate_wait::nextCheck(const rate_refused &Refused, instant Now) {
  if (Now - LastRequestAt < Refused.RepeatInterval)
    return rate_check::Poll;
  LastRequestAt = Now;
  return rate_check::Repeat;
}

} // namespace peridot
