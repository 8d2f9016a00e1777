/// \file
/// Tracks which VMs and incarnations have ended.
#pragma once

#include <span>
#include <unordered_map>

#include "coordination/membership/types/membership_view.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Records the VMs that the platform has listed and the newest incarnation of
/// each that is known. Missing heartbeats alone never make a VM count as gone.
class fleet_history {
public:
  /// Records the platform's list of VMs, corrected by membership.
  void updateMembers(std::span<const member> Members, instant Now);
  /// Records a message from \p Sender. If the list has dropped its VM, the
  /// time for which the VM counts as gone starts again.
  void recordMessage(const vm_incarnation &Sender, instant Now);

  /// Whether, for at least \p MinDuration, a VM that was listed before has been
  /// missing from the list or a newer incarnation of it has been known.
  bool hasBeenGoneFor(const vm_incarnation &Vm, duration MinDuration,
                      instant Now) const;
  /// Whether the VM was listed before and is missing from the latest list.
  bool isDropped(const vm_name &Vm) const { return DroppedAt.contains(Vm); }

private:
  void recordIncarnation(const vm_incarnation &Sender, instant Now);

  struct newest_incarnation {
    incarnation Incarnation;
    instant FirstSeenAt;
  };

  /// All VMs that were ever listed, and whether the latest list contains them.
  std::unordered_map<vm_name, bool> ListedVms;
  std::unordered_map<vm_name, instant> DroppedAt;
  std::unordered_map<vm_name, newest_incarnation> NewestIncarnations;
};

} // namespace peridot
