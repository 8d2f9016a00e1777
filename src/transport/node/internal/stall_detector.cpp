#include "transport/node/internal/stall_detector.h"

#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds CheckPeriod{250};
/// Shorter stalls are common on small VMs.
constexpr std::chrono::milliseconds MinStall{250};

} // namespace

stall_detector::stall_detector(timer_service &Timers)
    : LastCheck(Timers.now()),
      Timer(Timers.every(CheckPeriod, [this](instant Now) { check(Now); })) {}

void stall_detector::check(instant Now) {
  const duration Stall = Now - LastCheck - CheckPeriod;
  LastCheck = Now;
  if (Stall >= MinStall)
    logEvent(log_level::Warning, "stood-still",
             {{"for_ms",
               std::int64_t{
                   std::chrono::duration_cast<std::chrono::milliseconds>(Stall)
                       .count()}}});
}

} // namespace peridot
