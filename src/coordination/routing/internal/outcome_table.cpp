#include "coordination/routing/outcome_table.h"

namespace peridot {

namespace {

request_outcome outcomeOf(attempt_progress Progress) {
  switch (Progress) {
  case attempt_progress::NotConnected:
  case attempt_progress::NothingSent:
  case attempt_progress::Shed:
    return request_outcome::NotRun;
  case attempt_progress::PartiallySent:
  case attempt_progress::FullySent:
  case attempt_progress::ResponseStarted:
    return request_outcome::Unknown;
  }
  return request_outcome::Unknown;
}

} // namespace

attempt_verdict classifyAttempt(attempt_progress Progress, bool IsRepeatable,
                                bool IsBodyReplayable,
                                bool HasCallerReceivedBytes) {
  const request_outcome Outcome = outcomeOf(Progress);
  const bool IsSafeToRetry = Outcome == request_outcome::NotRun || IsRepeatable;
  return {.Outcome = Outcome,
          .MayRetry =
              IsSafeToRetry && IsBodyReplayable && !HasCallerReceivedBytes};
}

} // namespace peridot
