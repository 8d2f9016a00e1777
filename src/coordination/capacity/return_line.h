/// \file
/// Line of rejected callers: when each should come back.
#pragma once

#include <cstdint>

#include "coordination/capacity/urgency_shares.h"

namespace peridot {

/// What a rejected caller returns to.
struct return_conditions {
  urgency_class Class; ///< Of the rejected request.
  /// Rate at which returning callers can be served.
  double PerSecond = 0;
  /// Time before which none can be served.
  duration Earliest{0};
};

/// Callers that are rejected for the same cause, for example by the rate limit
/// of one account. Keeps one position; a caller that comes early is treated as
/// new. Not thread-safe.
class return_line {
public:
  /// Adds a caller to the line and returns after which time it should come
  /// back. The n-th caller comes back after about n / rate, one of the more
  /// urgent half sooner. Callers beyond the longest line are spread at its end.
  /// \param Random uniformly distributed bits.
  duration join(const return_conditions &Conditions, instant Now,
                std::uint64_t Random);

private:
  urgency_shares Shares;
  instant LastReturn{}; ///< When the last caller in the line comes back.
};

} // namespace peridot
