/// \file
/// The witness's side of a lease.
#pragma once

#include <unordered_map>
#include <unordered_set>

#include "coordination/ownership/types/lease_options.h"
#include "state/base/types/identifiers.h"

namespace peridot {

/// What this incarnation has promised to owners. Nothing is forgotten while
/// the process runs; a restarted one is another witness.
class witness_promises {
public:
  explicit witness_promises(lease_options Options) : Options(Options) {}

  /// Confirms \p Owner until now plus the promise, or returns false because
  /// it was refused for good before.
  bool confirm(const vm_incarnation &Owner, instant Now);

  /// True if \p Owner holds no promise any more. The first call about an
  /// owner that never asked starts a promise, so that it has time to.
  bool lapsed(const vm_incarnation &Owner, instant Now);

  /// Refuses \p Owner for good if its promise has lapsed; false otherwise.
  bool refuse(const vm_incarnation &Owner, instant Now);

private:
  lease_options Options;
  std::unordered_map<vm_incarnation, instant> PromisedUntil;
  std::unordered_set<vm_incarnation> Refused;
};

} // namespace peridot
