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

shutdown_schedule scheduleShutdown(instant Now, duration Limit,
                                   duration AddressLifetime) {
  const duration Reserve = Limit / ReserveDivisor;
  const instant EndsAt = Now + Limit - Reserve;
  return {.BeganAt = Now,
          .AddressesEndAt = Now + std::min(AddressLifetime, Limit / 2),
          .IdleClosesAt = EndsAt - Reserve,
          .AnswersAt = EndsAt - Reserve / 2,
          .EndsAt = EndsAt,
          .KilledAt = Now + Limit};
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
  return Now < Shutdown.AddressesEndAt && Request.Typical > duration{0} &&
         Request.Typical * TypicalLatencyFactor <= TimeLeft;
}

bool mayWait(const shutdown_schedule &Shutdown, instant Now) {
  return Now < Shutdown.IdleClosesAt;
}

} // namespace peridot
