/// \file
/// How much of a service's retry budget less urgent requests leave to others
/// while targets reject much.
#pragma once

#include "coordination/capacity/served_fractions.h"
#include "coordination/capacity/urgency_shares.h"

namespace peridot {

/// Watches the requests and attempts of one service; not thread-safe.
class retry_reserve {
public:
  void recordRequest(const urgency_class &Class) { Shares.record(Class); }
  /// Records an attempt; \p IsRejected: the target did not run it.
  void recordAttempt(bool IsRejected, instant Now);
  /// Returns the fraction of the budget that a retry of a request of \p Class
  /// must leave.
  double reservedFor(const urgency_class &Class, instant Now) const;

private:
  /// Age at which an attempt counts 1/e.
  static constexpr std::chrono::seconds CountedTime{2};

  urgency_shares Shares;
  aged_count Attempts{CountedTime};
  aged_count Rejected{CountedTime};
};

} // namespace peridot
