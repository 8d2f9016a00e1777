/// \file
/// Decides whether a failed request is reported as not run and whether it may
/// be retried at another target. No other code decides this.
#pragma once

#include "coordination/routing/types/refusal.h"

namespace peridot {

/// How far an attempt at a target got before it ended without a complete
/// response.
enum class attempt_progress {
  NotConnected,    ///< No connection was established.
  NothingSent,     ///< Connected, but no byte of the request was sent.
  PartiallySent,   ///< Part of the request may have reached the target.
  FullySent,       ///< The complete request was sent; no response came.
  ResponseStarted, ///< Part of a response was received.
  Shed,            ///< The target responded that it did not run the request.
};

/// Consequences of an attempt that ended without a complete response.
struct attempt_verdict {
  request_outcome Outcome = request_outcome::Unknown;
  /// Whether the request may be sent to another target, if retry budget and
  /// deadline permit.
  bool MayRetry = false;

  bool operator==(const attempt_verdict &) const = default;
};

/// \param IsRepeatable whether the route allows a request to run twice.
/// \param IsBodyReplayable whether no byte of the caller's body has been
///        consumed yet, or the complete body is still buffered.
/// \param HasCallerReceivedBytes whether part of a response was already
///        forwarded to the caller.
attempt_verdict classifyAttempt(attempt_progress Progress, bool IsRepeatable,
                                bool IsBodyReplayable,
                                bool HasCallerReceivedBytes);

} // namespace peridot
