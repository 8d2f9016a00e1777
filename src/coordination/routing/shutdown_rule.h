/// \file
/// Which requests a VM still accepts while it shuts down.
#pragma once

#include "state/base/types/instant.h"

namespace peridot {

/// When a VM began to shut down and when its process ends.
struct shutdown_schedule {
  instant BeganAt{};
  /// Until when callers may hold addresses of the VM.
  instant AddressesEndAt{};
  /// When connections without a request are closed, and requests refused that
  /// wait to run.
  instant IdleClosesAt{};
  /// When requests get a refusal whose response has not begun.
  instant AnswersAt{};
  /// When the process ends, whatever is open.
  instant EndsAt{};
  /// When the platform kills the process.
  instant KilledAt{};
};

/// Returns the schedule of a shutdown that begins at \p Now, of a process that
/// is killed \p Limit after the signal was sent to it. The signal may be
/// handled late, and the process takes time to end.
/// \param AddressLifetime how long callers may use an address response.
shutdown_schedule scheduleShutdown(instant Now, duration Limit,
                                   duration AddressLifetime);

/// Returns when a process ends that refused its last requests at \p RefusedAt.
/// One that stood still until then still takes the time for the refusals.
instant endAfterRefusals(const shutdown_schedule &Shutdown, instant RefusedAt);

/// How long a request may take.
struct request_duration {
  duration Timeout{0}; ///< It gets its final response within this time.
  duration Typical{0}; ///< Typical latency of its route; zero: unknown.
};

/// Whether a request that is passed on at \p Now gets its response before it
/// would be refused because the process ends. A request that is accepted and
/// cut off may have run; one that is refused can be sent to another VM at once.
///
/// While callers may still hold addresses of this VM, several times the typical
/// latency is enough. Later only the timeout counts.
bool endsBeforeShutdown(const request_duration &Request,
                        const shutdown_schedule &Shutdown, instant Now);

/// Whether a request may wait at \p Now for what it needs before it is passed
/// on. Afterwards it has to be refused, so that its caller gets the refusal
/// before the process ends.
bool mayWait(const shutdown_schedule &Shutdown, instant Now);

} // namespace peridot
