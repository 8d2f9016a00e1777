/// \file
/// Evidence that allows this VM to claim shards of another owner.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "coordination/ownership/fleet_history.h"
#include "coordination/ownership/types/lease_messages.h"
#include "coordination/ownership/types/lease_options.h"

namespace peridot {

/// Collects the final lapses and the releases that this VM has received.
class takeover_evidence {
public:
  explicit takeover_evidence(lease_options Options) : Options(Options) {}

  /// Records that \p Witness will never confirm \p Owner again.
  void recordFinalLapse(const vm_incarnation &Owner,
                        const vm_incarnation &Witness);
  /// Records that \p Owner has stopped acting for \p Term for good.
  void recordRelease(const vm_incarnation &Owner, const shard_term &Term);

  /// Whether the owner of \p Row can never act for the shard again. Either so
  /// many witnesses refuse it that no quorum can form, or it is gone and at
  /// least as many of its witnesses refuse it or are gone. An owner without
  /// witnesses only has to be gone.
  bool isBlocked(const shard_ownership &Row, const fleet_history &History,
                 instant Now) const;
  /// Whether the owner has released the recorded term of \p Shard.
  bool isReleased(shard_number Shard, const shard_ownership &Row) const;

  /// Drops evidence about owners that are not in \p Map any more and about
  /// terms that it has superseded.
  void prune(const shard_map &Map);

private:
  bool hasRefused(const vm_incarnation &Owner,
                  const vm_incarnation &Witness) const;

  lease_options Options;
  /// Witnesses that refuse an owner for good, by owner.
  std::unordered_map<vm_incarnation, std::set<vm_incarnation>> Refusals;
  std::map<shard_term, vm_incarnation> Releases;
};

} // namespace peridot
