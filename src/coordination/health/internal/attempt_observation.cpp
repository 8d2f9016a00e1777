#include "coordination/health/types/attempt_observation.h"

namespace peridot {

std::string_view nameOf(attempt_end End) {
  switch (End) {
  case attempt_end::Responded:
    return "answered";
  case attempt_end::RespondedError:
    return "answered-error";
  case attempt_end::Shed:
    return "shed";
  case attempt_end::ConnectFailed:
    return "connect-failed";
  case attempt_end::TimedOut:
    return "timed-out";
  case attempt_end::Broken:
    return "broken";
  case attempt_end::Cancelled:
    return "cancelled";
  }
  return "unknown";
}

} // namespace peridot
