/// \file
/// How urgent a request is compared with the recent requests of its service.
#pragma once

#include <map>

#include "coordination/capacity/urgency.h"

namespace peridot {

/// Counts the recent requests of one service by class; not thread-safe.
class urgency_shares {
public:
  void record(const urgency_class &Class);
  /// Returns the fraction of recent requests that are more urgent than one in
  /// the middle of \p Class; 0.5 if there is only this class.
  double fractionBefore(const urgency_class &Class) const;

private:
  void halve();

  std::map<urgency_class, double> Counts;
  double Total = 0;
};

} // namespace peridot
