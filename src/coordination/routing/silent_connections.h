/// \file
/// Tells connections that went silent from a target that is slow.
#pragma once

#include <optional>
#include <variant>

#include "state/base/types/instant.h"

namespace peridot {

/// A request on a connection got no answer before its deadline.
struct connection_timed_out {
  instant OpenedAt{};
  bool Reused = false; ///< It had answered an earlier request.
};

/// A request on a connection was answered.
struct connection_answered {
  instant OpenedAt{};
};

using connection_event =
    std::variant<connection_timed_out, connection_answered>;

/// Judges the connections to one target by their age. When a reused one times
/// out, all that are at least as old are suspect and not used. An answer on a
/// younger one shows that the target works: the suspects are retired. An
/// answer on a suspect, or a time-out on a younger one, clears them.
class silent_connection_detector {
public:
  /// \returns the moment up to which connections that were opened are to be
  ///          closed, when they are found silent.
  std::optional<instant> handle(const connection_event &Event);

  /// True if a connection must not carry a new request.
  bool isSuspect(instant OpenedAt) const {
    return SuspectUntil && OpenedAt <= *SuspectUntil;
  }

private:
  std::optional<instant> onTimeout(const connection_timed_out &Timeout);
  std::optional<instant> onAnswer(const connection_answered &Answer);

  std::optional<instant> SuspectUntil;
};

} // namespace peridot
