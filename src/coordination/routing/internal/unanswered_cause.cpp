#include "coordination/routing/types/unanswered_cause.h"

namespace peridot {

std::string_view nameOf(unanswered_cause Cause) {
  switch (Cause) {
  case unanswered_cause::BodyNotReceived:
    return "body-not-received";
  case unanswered_cause::CallerLeft:
    return "caller-left";
  case unanswered_cause::ResponseIncomplete:
    return "response-incomplete";
  case unanswered_cause::ResponseUndelivered:
    return "response-undelivered";
  case unanswered_cause::RefusalUndelivered:
    return "refusal-undelivered";
  case unanswered_cause::SessionFailed:
    return "session-failed";
  case unanswered_cause::ProcessEnded:
    return "process-ended";
  }
  return "session-failed";
}

} // namespace peridot
