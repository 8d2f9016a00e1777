#include "coordination/routing/types/refusal.h"

namespace peridot {

std::string_view nameOf(refusal_kind Kind) {
  switch (Kind) {
  case refusal_kind::MalformedRequest:
    return "malformed-request";
  case refusal_kind::HeadTooLarge:
    return "head-too-large";
  case refusal_kind::BodyTooLarge:
    return "body-too-large";
  case refusal_kind::NoConfiguration:
    return "no-configuration";
  case refusal_kind::NoSuchRoute:
    return "no-such-route";
  case refusal_kind::MissingKey:
    return "missing-key";
  case refusal_kind::UnknownKey:
    return "unknown-key";
  case refusal_kind::NotAllowed:
    return "not-allowed";
  case refusal_kind::KeysNotFresh:
    return "keys-not-fresh";
  case refusal_kind::RateExceeded:
    return "rate-exceeded";
  case refusal_kind::QueueFull:
    return "queue-full";
  case refusal_kind::NoHealthyTarget:
    return "no-healthy-target";
  case refusal_kind::TargetUnreachable:
    return "target-unreachable";
  case refusal_kind::TargetShed:
    return "target-shed";
  case refusal_kind::TargetFailed:
    return "target-failed";
  case refusal_kind::DeadlineExceeded:
    return "deadline-exceeded";
  case refusal_kind::TooManyConnections:
    return "too-many-connections";
  case refusal_kind::ShuttingDown:
    return "shutting-down";
  case refusal_kind::MemoryShort:
    return "memory-short";
  }
  return "internal";
}

std::string_view nameOf(request_outcome Outcome) {
  return Outcome == request_outcome::NotRun ? "not-run" : "unknown";
}

std::string_view remedyOf(refusal_kind Kind) {
  switch (Kind) {
  case refusal_kind::MalformedRequest:
    return "send a well-formed HTTP/1.1 request";
  case refusal_kind::HeadTooLarge:
    return "send fewer or shorter header fields";
  case refusal_kind::BodyTooLarge:
    return "send a smaller body or raise max_body_bytes of the route";
  case refusal_kind::NoConfiguration:
    return "use another VM until this one has a configuration";
  case refusal_kind::NoSuchRoute:
    return "check method and path against the service files";
  case refusal_kind::MissingKey:
    return "send the account's key in the Peridot-Key field";
  case refusal_kind::UnknownKey:
    return "use a key that is in force for the account";
  case refusal_kind::NotAllowed:
    return "ask the service's operators to list the service for the account";
  case refusal_kind::KeysNotFresh:
    return "use another VM; this one receives no key updates";
  case refusal_kind::RateExceeded:
    return "send fewer requests or ask for a higher rate limit";
  case refusal_kind::QueueFull:
    return "try again after the given time";
  case refusal_kind::NoHealthyTarget:
    return "try again later; see `peridotctl explain service`";
  case refusal_kind::TargetUnreachable:
    return "try again later";
  case refusal_kind::TargetShed:
    return "try again after the given time";
  case refusal_kind::TooManyConnections:
    return "close idle connections or use another VM";
  case refusal_kind::ShuttingDown:
    return "use another VM; this one is about to stop";
  case refusal_kind::MemoryShort:
    return "try again after the given time or use another VM";
  case refusal_kind::TargetFailed:
  case refusal_kind::DeadlineExceeded:
    return "check with the service whether the request ran";
  }
  return "report this as a defect";
}

} // namespace peridot
