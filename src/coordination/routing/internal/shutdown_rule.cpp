#include "coordination/routing/shutdown_rule.h"

namespace peridot {

namespace {

/// Covers requests that are slow or wait at their target.
constexpr int TypicalLatencyFactor = 8;

} // namespace

bool endsBeforeShutdown(const request_duration &Request,
                        const shutdown_schedule &Shutdown, instant Now) {
  const duration TimeLeft = Shutdown.EndsAt - Now;
  if (Request.Timeout <= TimeLeft)
    return true;
  const duration Length = Shutdown.EndsAt - Shutdown.BeganAt;
  const bool IsFirstHalf = Now - Shutdown.BeganAt < Length / 2;
  return IsFirstHalf && Request.Typical > duration{0} &&
         Request.Typical * TypicalLatencyFactor <= TimeLeft;
}

} // namespace peridot
