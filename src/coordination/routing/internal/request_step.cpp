#include "coordination/routing/types/request_step.h"

namespace peridot {

std::string_view nameOf(request_step Step) {
  switch (Step) {
  case request_step::Confirmation:
    return "confirmation";
  case request_step::Rate:
    return "rate";
  case request_step::Slot:
    return "slot";
  case request_step::Body:
    return "body";
  case request_step::Target:
    return "target";
  case request_step::Response:
    return "response";
  }
  return "response";
}

} // namespace peridot
