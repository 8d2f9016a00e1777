/// \file
/// Rewrites header fields on their way between callers and targets.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/http/types/http_dialect.h"

namespace peridot {

/// Removes hop-by-hop fields: those of RFC 9110 and those that the Connection
/// field lists. Keeps Transfer-Encoding and Content-Length, because the
/// serializer sets the framing of the forwarded body.
void removeHopByHopFields(boost::beast::http::fields &Fields);

/// Removes the client account's key, which targets must not see.
void removeCredentials(boost::beast::http::fields &Fields,
                       const http_dialect &Dialect);

/// Values that are added to the request fields sent to a target.
struct forwarded_context {
  std::string_view Account;              ///< Empty on open routes.
  std::chrono::milliseconds TimeLeft{0}; ///< Until the deadline.
  std::string_view AttemptId;            ///< Unique to this attempt.
  std::string_view TargetName;           ///< Target of this attempt.
};

/// Turns a caller's request fields into those that the target receives.
/// Replaces or removes fields of the same names that the caller sent.
void prepareForTarget(boost::beast::http::fields &Fields,
                      const http_dialect &Dialect,
                      const forwarded_context &Context);

/// Returns the key of a request, or nullopt if it has none.
std::optional<std::string_view>
readKey(const boost::beast::http::fields &Fields, const http_dialect &Dialect);

/// Returns how long the caller waits, or nullopt if the request does not
/// state it in a valid form.
std::optional<std::chrono::milliseconds>
readCallerDeadline(const boost::beast::http::fields &Fields,
                   const http_dialect &Dialect);

/// Returns how long a target keeps an idle connection open, or nullopt if the
/// response does not state it.
std::optional<std::chrono::seconds>
readKeepAlive(const boost::beast::http::fields &Fields);

/// Turns a target's response fields into those that the caller receives.
void prepareForCaller(boost::beast::http::fields &Fields,
                      const http_dialect &Dialect);

/// Reads from a response with \p Status for how long its target wants no more
/// requests: Retry-After of a 503, in seconds with or without a fraction. Of
/// several fields the longest time counts.
void readRequestedPause(const boost::beast::http::fields &Fields,
                        unsigned Status, target_report &Report);

/// Returns the value of Retry-After: seconds, rounded up if the dialect allows
/// no fraction.
std::string formatRetryAfter(std::chrono::milliseconds Delay,
                             const http_dialect &Dialect);

} // namespace peridot
