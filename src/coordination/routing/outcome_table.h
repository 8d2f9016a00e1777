/// \file
/// The one place that decides whether a failed request may be called not run,
/// and whether it may be tried at another target.
#pragma once

#include "coordination/routing/types/refusal.h"

namespace peridot {

/// How far an attempt at a target got before it ended without a whole answer.
enum class attempt_progress {
  NotConnected,  ///< No connection was made.
  NothingSent,   ///< Connected, no byte of the request was handed over.
  PartlySent,    ///< Some bytes of the request may have reached the target.
  WhollySent,    ///< All bytes were handed over; no answer came.
  AnswerStarted, ///< Part of an answer came.
  Shed,          ///< The target declared that it did not run the request.
};

/// What follows from an attempt without a whole answer.
struct attempt_verdict {
  request_outcome Outcome = request_outcome::Unknown;
  bool MayRetry = false; ///< At another target, budget and deadline allowing.

  bool operator==(const attempt_verdict &) const = default;
};

/// \param Repeatable the route declares that a request may run twice.
/// \param BodyReplayable no byte of the caller's body has been consumed, or
///        all of it is still buffered.
/// \param CallerGotBytes part of an answer was already passed on.
attempt_verdict judgeAttempt(attempt_progress Progress, bool Repeatable,
                             bool BodyReplayable, bool CallerGotBytes);

} // namespace peridot
