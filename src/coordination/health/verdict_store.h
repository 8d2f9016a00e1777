/// \file
/// The verdict sets that a VM has in force.
#pragma once

#include <unordered_map>

#include "coordination/health/types/service_verdicts.h"
#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// Takes only sets of a higher version; a repeated set changes nothing.
class verdict_store {
public:
  /// True if \p Offered is now in force.
  bool accept(const service_verdicts &Offered);
  /// The set in force; nullptr when none came.
  const service_verdicts *find(const service_name &Service) const;
  verdict_version versionOf(const service_name &Service) const;

private:
  std::unordered_map<service_name, service_verdicts> Held;
};

/// What a VM in \p DataCenter does with a target under \p Verdict.
target_condition conditionUnder(const target_verdict &Verdict,
                                const data_center_name &DataCenter);

} // namespace peridot
