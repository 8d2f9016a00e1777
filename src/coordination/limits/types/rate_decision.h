/// \file
/// Result of checking a request against the rate and burst of its account.
#pragma once

#include <chrono>
#include <variant>

#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// The request is admitted; one token was taken from the account's share.
struct rate_admitted {};

/// The request is refused; the account's share on this VM is used up.
struct rate_refused {
  /// Time until a token is expected.
  std::chrono::milliseconds RetryAfter{0};
  /// Requests per second of the account that this VM can expect to admit on
  /// one traffic thread; zero: unknown.
  double ExpectedPerSecond = 0;
  /// Whether this VM has requested a share, so that a short wait is worthwhile.
  /// The next three members apply only then.
  bool ShareRequested = false;
  /// Time between two checks whether the share has arrived.
  std::chrono::milliseconds PollInterval{100};
  /// Maximum time to wait for the share.
  std::chrono::milliseconds WaitLimit{3'000};
  /// Time after which the share is requested again.
  std::chrono::milliseconds RepeatInterval{3'000};
  rate_limit Share; ///< This VM's share of the limit; zero if unknown.
  /// The VM from which a share was requested; empty if there is none.
  vm_name Primary;
};

/// What a waiting request does about a share: First requests one, Poll checks
/// whether it has arrived, Repeat requests it again for lack of a response.
enum class rate_check { First, Poll, Repeat };

using rate_decision = std::variant<rate_admitted, rate_refused>;

} // namespace peridot
