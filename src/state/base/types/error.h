/// \file
/// Typed errors with a message and a remedy.
#pragma once

#include <string>
#include <string_view>
#include <tl/expected.hpp>

namespace peridot {

/// Category of an error; determines the exit code or HTTP status.
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

/// Returns the stable name that logs and problem+json types use.
std::string_view nameOf(error_kind Kind);

/// An error that an operator or a caller can act on.
struct error {
  error_kind Kind = error_kind::Internal;
  std::string Message; ///< What failed, with the values involved.
  std::string Remedy;  ///< How to resolve the error.

  /// Returns kind, message and remedy on one line.
  std::string text() const;
};

template <typename T> using result = tl::expected<T, error>;

/// Creates the error return value of a function that returns a result.
inline tl::unexpected<error> fail(error_kind Kind, std::string Message,
                                  std::string Remedy) {
  return tl::unexpected<error>(
      error{Kind, std::move(Message), std::move(Remedy)});
}

} // namespace peridot
