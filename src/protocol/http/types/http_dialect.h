/// \file
/// HTTP dialect of callers and targets: names of header fields, and a decoder
/// for what targets report. The process selects one dialect at startup.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

#include <boost/beast/http/fields.hpp>

#include "coordination/load_balancing/types/reported_load.h"

namespace peridot {

/// State of a target and of the request, as reported in a response.
struct target_report {
  bool Shed = false;        ///< The target did not run the request.
  bool Misdirected = false; ///< Another target now has the address.
  bool Draining = false;    ///< The target announced that it drains.
  /// False if a successful response lacks a field that the dialect's targets
  /// always add, or has one that they never add: it comes from elsewhere.
  bool Genuine = true;
  double Load = -1; ///< From 0 to 1; negative if not reported.
  reported_load Slots;
  /// For how long the target wants no more requests; may be zero or negative.
  std::optional<std::chrono::milliseconds> Pause;
  /// The target asked for a pause in a form that cannot be decoded.
  bool HasUndecodablePause = false;
};

/// Field names of a dialect. The dialect does not use fields whose name is
/// empty.
struct http_dialect {
  /// Path on the callers' port that returns the addresses to use.
  std::string_view AddressesPath;
  std::string_view KeyField;
  /// Prefix of the key in KeyField, including the space.
  std::string_view KeyScheme;
  /// Client account of the request, sent to targets.
  std::string_view AccountField;
  /// Milliseconds that the caller waits, sent by callers.
  std::string_view CallerDeadlineField;
  /// Milliseconds left until the deadline, sent to targets.
  std::string_view TargetDeadlineField;
  /// Id of one attempt; targets return it in the response.
  std::string_view AttemptField;
  /// Whether callers set AttemptField; it is then forwarded unchanged.
  bool CallerSetsAttemptId = false;
  /// Name of the target that the request is sent to.
  std::string_view TargetIdentityField;
  /// Whether a refused request may have run, sent to callers.
  std::string_view OutcomeField;
  /// Response fields that are read here and not forwarded to callers.
  std::string_view TargetStateField;
  std::string_view TargetLoadField;
  /// Whether Retry-After may be a fractional number of seconds.
  bool AllowsFractionalRetryAfter = false;
  /// Decodes what a target reports in a response with \p Status.
  target_report (*ReadReport)(const boost::beast::http::fields &Fields,
                              unsigned Status) = nullptr;
};

/// Returns the project's own dialect.
const http_dialect &nativeDialect();

} // namespace peridot
