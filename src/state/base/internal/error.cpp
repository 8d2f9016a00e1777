#include "state/base/types/error.h"

namespace peridot {

std::string_view nameOf(error_kind Kind) {
  switch (Kind) {
  case error_kind::InvalidInput:
    return "invalid-input";
  case error_kind::NotFound:
    return "not-found";
  case error_kind::Conflict:
    return "conflict";
  case error_kind::Unauthorized:
    return "unauthorized";
  case error_kind::Forbidden:
    return "forbidden";
  case error_kind::LimitExceeded:
    return "limit-exceeded";
  case error_kind::TooLarge:
    return "too-large";
  case error_kind::Unavailable:
    return "unavailable";
  case error_kind::Timeout:
    return "timeout";
  case error_kind::Protocol:
    return "protocol";
  case error_kind::Internal:
    return "internal";
  }
  return "internal";
}

std::string error::text() const {
  return std::string(nameOf(Kind)) + ": " + Message + "; " + Remedy;
}

} // namespace peridot
