/// \file
/// Outcome of one attempt at a target, as observed by a traffic thread.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// How an attempt ended. Used as evidence about the target.
enum class attempt_end {
  Responded,      ///< Complete response with a status below 500.
  RespondedError, ///< Complete response with a status of 500 or above.
  Shed,           ///< The target refused the request without running it.
  ConnectFailed,  ///< No connection within the connect timeout.
  TimedOut,       ///< Connected, but no complete response before the deadline.
  Broken,    ///< The connection closed early or the response was malformed.
  Cancelled, ///< The caller disconnected; no evidence about the target.
};

/// Returns the stable name that logs use.
std::string_view nameOf(attempt_end End);

/// State that a target announces in its responses.
enum class target_signal { None, Draining };

/// Observation of one attempt.
struct attempt_observation {
  service_name Service;
  target_name Target;
  /// Start of the target's process, as in target::StartedAt.
  std::int64_t TargetStartedAt = 0;
  attempt_end End = attempt_end::Responded;
  duration Latency{0}; ///< From the first byte sent to the response head.
  bool ReusedConnection = false;
  duration ConnectionAge{0}; ///< Time since the connection was opened.
  target_signal Signal = target_signal::None;
  /// Id of the request whose response has the signal; empty without one.
  std::string SignallingRequest;
  /// Load from 0 to 1 that the target reported; negative if it reported none.
  double ReportedLoad = -1;
};

} // namespace peridot
