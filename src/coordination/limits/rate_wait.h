/// \file
/// Decides how long a request waits for a share of its account's limit.
#pragma once

#include <optional>

#include "coordination/limits/types/rate_decision.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Wait of one request for a share; created when it first requests one.
class rate_wait {
public:
  explicit rate_wait(instant Now) : StartedAt(Now), LastRequestAt(Now) {}

  /// Whether the request should keep waiting after \p Refused and check for a
  /// share again after rate_refused::PollInterval.
  bool shouldContinue(const rate_refused &Refused, instant Now) const;
  /// Returns what to do at the next check. Repeats the share request from
  /// time to time because it or its response may have been lost.
  rate_check nextCheck(const rate_refused &Refused, instant Now);

private:
  instant StartedAt;
  instant LastRequestAt;
};

} // namespace peridot
