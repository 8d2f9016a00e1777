/// \file
/// Typed errors whose messages name the remedy.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace peridot {

/// What kind of failure happened; decides exit codes and HTTP statuses.
enum class error_kind {
  InvalidInput,
  NotFound,
  Conflict,
  Unauthorized,
  Forbidden,
  LimitExceeded,
  TooLarge,
  Unavailable,
  Timeout,
  Protocol,
  Internal,
};

/// Stable text of a kind, as used in logs and problem+json types.
std::string_view nameOf(error_kind Kind);

/// A failure for an operator or caller to act upon.
struct error {
  error_kind Kind = error_kind::Internal;
  std::string Message; ///< What failed, with the values involved.
  std::string Remedy;  ///< What to do about it.

  /// Message and remedy in one line.
  std::string text() const;
};

template <typename T> using result = tl::expected<T, error>;

/// Shorthand for returning an error from a function with a result.
inline tl::unexpected<error> fail(error_kind Kind, std::string Message,
                                  std::string Remedy) {
  return tl::unexpected<error>(
      error{Kind, std::move(Message), std::move(Remedy)});
}

} // namespace peridot
