#include "coordination/routing/shutdown_rule.h"

#include <algorithm>

namespace peridot {

namespace {

/// Covers requests that are slow or wait at their target.
constexpr int TypicalLatencyFactor = 8;
/// The process ends this fraction of the limit before it is killed, and closes
/// idle connections by the same fraction earlier. Half of that time is left for
/// the refusals of requests that have not ended.
constexpr int ReserveDivisor = 20;

} // namespace

shutdown_schedule scheduleShutdown(instant Now, duration Limit) {
  const duration Reserve = Limit / ReserveDivisor;
  const instant EndsAt = Now + Limit - Reserve;
  return {.BeganAt = Now,
          .IdleClosesAt = EndsAt - Reserve,
          .AnswersAt = EndsAt - Reserve / 2,
          .EndsAt = EndsAt};
}

instant endAfterRefusals(const shutdown_schedule &Shutdown, instant RefusedAt) {
  return std::max(Shutdown.EndsAt,
                  RefusedAt + (Shutdown.EndsAt - Shutdown.AnswersAt));
}

bool endsBeforeShutdown(const request_duration &Request,
                        const shutdown_schedule &Shutdown, instant Now) {
  const duration TimeLeft = Shutdown.AnswersAt - Now;
  if (Request.Timeout <= TimeLeft)
    return true;
  const duration Length = Shutdown.AnswersAt - Shutdown.BeganAt;
  const bool IsFirstHalf = Now - Shutdown.BeganAt < Length / 2;
  return IsFirstHalf && Request.Typical > duration{0} &&
         Request.Typical * TypicalLatencyFactor <= TimeLeft;
}

bool mayWait(const shutdown_schedule &Shutdown, instant Now) {
  return Now < Shutdown.IdleClosesAt;
}

} // namespace peridot
