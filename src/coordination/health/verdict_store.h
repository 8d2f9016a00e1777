/// \file
/// Verdict sets that a VM applies.
#pragma once

#include <unordered_map>

#include "coordination/health/types/service_verdicts.h"
#include "coordination/routing/types/routing_snapshot.h"

namespace peridot {

/// Keeps the verdict set with the highest version of each service.
class verdict_store {
public:
  /// Stores \p Offered if its version is higher than that of the stored set.
  /// \returns whether it was stored.
  bool accept(const service_verdicts &Offered);
  /// Returns the stored set, or nullptr if none was received.
  const service_verdicts *find(const service_name &Service) const;
  verdict_version versionOf(const service_name &Service) const;

private:
  std::unordered_map<service_name, service_verdicts> Held;
};

/// Condition of a target with \p Verdict for the VMs of \p DataCenter.
target_condition conditionUnder(const target_verdict &Verdict,
                                const data_center_name &DataCenter);

} // namespace peridot
