/// \file
/// Why a request got no response from a target, and whether it ran.
#pragma once

#include <chrono>
#include <string>
#include <string_view>

namespace peridot {

/// Kinds of refusal. Each has its own problem+json type, which must not change.
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
  ShuttingDown,
  MemoryShort,
};

/// Whether a refused request ran, as reported to the caller.
enum class request_outcome {
  NotRun,  ///< Did not run at any target.
  Unknown, ///< May have run.
};

/// A refusal, independent of its encoding.
struct refusal {
  refusal_kind Kind = refusal_kind::MalformedRequest;
  request_outcome Outcome = request_outcome::NotRun;
  std::string Detail; ///< Description of the cause, including its values.
  /// Time after which a retry may succeed; zero if unknown.
  std::chrono::milliseconds RetryAfter{0};
};

/// Returns the stable name of a kind, as used in problem types, logs and
/// counters.
std::string_view nameOf(refusal_kind Kind);
std::string_view nameOf(request_outcome Outcome);
/// Returns what the caller can do about a refusal of this kind.
std::string_view remedyOf(refusal_kind Kind);

} // namespace peridot
