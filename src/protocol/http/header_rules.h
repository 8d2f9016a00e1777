/// \file
/// Which header fields pass between callers and targets.
#pragma once

#include <chrono>
#include <string_view>

#include <boost/beast/http/fields.hpp>

namespace peridot {

/// Header field that tells a target whose request it is.
inline constexpr std::string_view AccountField = "Peridot-Account";
/// Header field that tells a target how many milliseconds are left.
inline constexpr std::string_view DeadlineField = "Peridot-Deadline-Ms";
/// Header field that names one attempt; a target may send it back, so that an
/// answer cannot be taken for that of another request.
inline constexpr std::string_view AttemptField = "Peridot-Attempt-Id";
/// Header field by which a target reports that it shed a request or drains.
inline constexpr std::string_view TargetStateField = "Peridot-Target-State";
/// Header field by which a target reports its load, from 0 to 1.
inline constexpr std::string_view TargetLoadField = "Peridot-Target-Load";

/// Removes hop-by-hop fields: those of RFC 9110 and those that the Connection
/// field names. Transfer-Encoding and Content-Length stay; the serializer
/// frames the body anew.
void removeHopByHopFields(boost::beast::http::fields &Fields);

/// Removes what no target may see: the account's key.
void removeSecrets(boost::beast::http::fields &Fields);

/// What a target learns besides the caller's own fields.
struct forwarded_context {
  std::string_view Account; ///< Empty on open routes.
  std::chrono::milliseconds TimeLeft{0};
  std::string_view AttemptId; ///< Unique to this attempt.
};

/// Turns a caller's fields into those that the target gets. Fields of the same
/// names that the caller sent are replaced or removed.
void prepareForTarget(boost::beast::http::fields &Fields,
                      const forwarded_context &Context);

/// True if an answer carries the id of the attempt that it should answer.
bool answersAttempt(const boost::beast::http::fields &Fields,
                    std::string_view AttemptId);

/// Turns a target's fields into those that the caller gets.
void prepareForCaller(boost::beast::http::fields &Fields);

/// What a target says about itself in an answer.
struct target_report {
  bool Shed = false; ///< It did not run the request.
  bool Draining = false;
  double Load = -1; ///< From 0 to 1; negative: not reported.
};

/// \param Status of the answer; only a 503 can be shed.
target_report readTargetReport(const boost::beast::http::fields &Fields,
                               unsigned Status);

} // namespace peridot
