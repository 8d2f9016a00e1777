/// \file
/// Decides what becomes of a request whose caller's sending side ended while
/// the request was at a target.
#pragma once

#include <variant>

namespace peridot {

/// What is known about the request and the end of the caller's sending side.
/// The end may be that of the whole connection; TCP shows the difference only
/// when something is sent to the caller.
struct caller_close {
  bool IsReset = false;      ///< The connection was reset; surely the whole.
  bool IsRepeatable = false; ///< The caller may send the request once more.
  bool HasResponseStarted = false; ///< Response bytes were sent to the caller.
  bool AcceptsInterim = false;     ///< It accepts interim responses (1xx).
};

/// The attempt ends, as nobody would receive its response.
struct cancel_attempt {
  bool operator==(const cancel_attempt &) const = default;
};
/// The attempt goes on and its response is sent.
struct finish_attempt {
  /// An interim response is sent at once: a caller that is gone resets the
  /// connection.
  bool ShouldProbe = false;

  bool operator==(const finish_attempt &) const = default;
};

using caller_close_decision = std::variant<cancel_attempt, finish_attempt>;

caller_close_decision decideCallerClose(const caller_close &Close);

} // namespace peridot
