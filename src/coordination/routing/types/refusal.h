/// \file
/// Why a request got no answer from a target, and whether it ran.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace peridot {

/// Stable kinds of refusal; each is one problem+json type.
enum class refusal_kind {
  MalformedRequest,
  HeadTooLarge,
  BodyTooLarge,
  NoConfiguration,
  NoSuchRoute,
  MissingKey,
  UnknownKey,
  NotAllowed,
  KeysNotFresh,
  RateExceeded,
  QueueFull,
  NoHealthyTarget,
  TargetUnreachable,
  TargetShed,
  TargetFailed,
  DeadlineExceeded,
  TooManyConnections,
};

/// What a caller may conclude about its request.
enum class request_outcome {
  NotRun,  ///< Certainly did not run at any target.
  Unknown, ///< May have run.
};

/// A typed refusal, independent of how it is encoded.
struct refusal {
  refusal_kind Kind = refusal_kind::MalformedRequest;
  request_outcome Outcome = request_outcome::NotRun;
  std::string Detail; ///< What happened, with the values involved.
  /// When another try has a chance; zero when unknown.
  std::chrono::milliseconds RetryAfter{0};
};

/// Stable name of a kind, as used in problem types, logs and counters.
std::string_view nameOf(refusal_kind Kind);
std::string_view nameOf(request_outcome Outcome);
/// What the caller can do about a refusal of this kind.
std::string_view remedyOf(refusal_kind Kind);

} // namespace peridot
