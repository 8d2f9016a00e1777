/// \file
/// What allows this VM to claim shards of another owner.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

#include "coordination/ownership/fleet_history.h"
#include "coordination/ownership/types/lease_messages.h"
#include "coordination/ownership/types/lease_options.h"

namespace peridot {

/// Final lapses and releases that were received.
class takeover_evidence {
public:
  explicit takeover_evidence(lease_options Options) : Options(Options) {}

  void lapsed(const vm_incarnation &Owner, const vm_incarnation &Witness);
  void released(const vm_incarnation &Owner, const shard_term &Term);

  /// True if the owner of \p Row can never act for it again: its witnesses
  /// refuse, or it and its witnesses are gone.
  bool isBlocked(const shard_ownership &Row, const fleet_history &History,
                 instant Now) const;
  bool isReleased(shard_number Shard, const shard_ownership &Row) const;

  /// Forgets what the map has made obsolete.
  void prune(const shard_map &Map);

private:
  bool hasRefused(const vm_incarnation &Owner,
                  const vm_incarnation &Witness) const;

  lease_options Options;
  std::unordered_map<vm_incarnation, std::set<vm_incarnation>> Refusals;
  std::map<shard_term, vm_incarnation> Releases;
};

} // namespace peridot
