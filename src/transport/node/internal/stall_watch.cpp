#include "transport/node/internal/stall_watch.h"

#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds LookPeriod{250};
/// Shorter stalls are usual on small VMs.
constexpr std::chrono::milliseconds LeastStall{250};

} // namespace

stall_watch::stall_watch(timer_service &Timers)
    : LastLook(Timers.now()),
      Timer(Timers.every(LookPeriod, [this](instant Now) { look(Now); })) {}

void stall_watch::look(instant Now) {
  const duration Stall = Now - LastLook - LookPeriod;
  LastLook = Now;
  if (Stall >= LeastStall)
    logEvent(log_level::Warning, "stood-still",
             {{"for_ms",
               std::int64_t{
                   std::chrono::duration_cast<std::chrono::milliseconds>(Stall)
                       .count()}}});
}

} // namespace peridot
