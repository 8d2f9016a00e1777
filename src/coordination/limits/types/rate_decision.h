/// \file
/// Whether an account's request is within its rate and burst.
#pragma once

#include <chrono>
#include <variant>

#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// One request was taken off the account's share.
struct rate_admitted {};

/// No share is left on this VM.
struct rate_refused {
  std::chrono::milliseconds RetryAfter{0}; ///< When a share is expected.
  /// This VM holds no share yet and has asked for one: worth a short wait.
  bool ShareRequested = false;
  /// Then the time between two looks for it, how long it may take, and the time
  /// after which it is asked for again.
  std::chrono::milliseconds LookAfter{100};
  std::chrono::milliseconds Patience{3'000};
  std::chrono::milliseconds AskAgainAfter{3'000};
  rate_limit Part; ///< This VM's part of the limit; zero: not known.
  /// The VM that was asked for a share; empty: none.
  vm_name Home;
};

/// What a request does about a share: asks for one, looks for the one that it
/// asked for, or asks once more as no answer came.
enum class rate_question { First, Look, Repeat };

using rate_decision = std::variant<rate_admitted, rate_refused>;

} // namespace peridot
