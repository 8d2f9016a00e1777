/// \file
/// The witness's side of a lease: promises and refusals.
#pragma once

#include <unordered_map>
#include <unordered_set>

#include "coordination/ownership/types/lease_options.h"
#include "state/base/types/identifiers.h"

namespace peridot {

/// Promises of this incarnation to owners. Entries stay as long as the process
/// runs; after a restart the VM counts as a different witness.
class witness_promises {
public:
  explicit witness_promises(lease_options Options) : Options(Options) {}

  /// Promises \p Owner one promise length from \p Now. Returns false if the
  /// owner was refused for good before.
  bool confirm(const vm_incarnation &Owner, instant Now);

  /// Whether the promise to \p Owner has run out. The first call for an owner
  /// without a promise starts one, so that it has time to request confirmation.
  bool hasLapsed(const vm_incarnation &Owner, instant Now);

  /// Refuses \p Owner for good if its promise has lapsed. Returns whether the
  /// owner is refused.
  bool refuseIfLapsed(const vm_incarnation &Owner, instant Now);

private:
  lease_options Options;
  std::unordered_map<vm_incarnation, instant> PromisedUntil;
  std::unordered_set<vm_incarnation> RefusedOwners;
};

} // namespace peridot
