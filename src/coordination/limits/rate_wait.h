/// \file
/// How long a request waits for a share of its account's limit.
#pragma once

#include <optional>

#include "coordination/limits/types/rate_decision.h"
#include "state/base/types/instant.h"

namespace peridot {

/// The wait of one request, which asked when it was created.
class rate_wait {
public:
  explicit rate_wait(instant Now) : StartedAt(Now), AskedAt(Now) {}

  /// True if the request waits on after \p Refused, to look again after
  /// rate_refused::LookAfter.
  bool goesOn(const rate_refused &Refused, instant Now) const;
  /// What the request does when it looks again: question or answer may have
  /// been lost on the way.
  rate_question next(const rate_refused &Refused, instant Now);

private:
  instant StartedAt;
  instant AskedAt;
};

} // namespace peridot
