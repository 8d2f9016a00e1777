/// \file
/// Distinguishes connections that went silent from a slow target.
#pragma once

#include <optional>
#include <variant>

#include "state/base/types/instant.h"

namespace peridot {

/// A request on a connection got no response before its deadline.
struct connection_timed_out {
  instant OpenedAt{};
  /// Whether the connection has carried an earlier response.
  bool Reused = false;
};

/// A response was received on a connection.
struct connection_responded {
  instant OpenedAt{};
};

using connection_event =
    std::variant<connection_timed_out, connection_responded>;

/// Evaluates the connections to one target by their age. If a request on a
/// reused connection times out, all connections that are at least as old become
/// suspect and carry no new requests. A response on a younger connection shows
/// that the target works, and the suspect connections are retired. A response
/// on a suspect connection, or a timeout on a younger one, clears the
/// suspicion.
class silent_connection_detector {
public:
  /// \returns the opening time up to which connections must be closed, if
  ///          connections were found to be silent.
  std::optional<instant> handle(const connection_event &Event);

  /// Returns whether a connection must not carry new requests.
  bool isSuspect(instant OpenedAt) const {
    return NewestSuspectOpenedAt && OpenedAt <= *NewestSuspectOpenedAt;
  }

private:
  std::optional<instant> onTimeout(const connection_timed_out &Timeout);
  std::optional<instant> onResponse(const connection_responded &Response);

  /// Opening time of the youngest suspect connection.
  std::optional<instant> NewestSuspectOpenedAt;
};

} // namespace peridot
