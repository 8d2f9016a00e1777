/// \file
/// Which VMs and incarnations are known to be gone.
#pragma once

#include <span>
#include <unordered_map>

#include "coordination/membership/types/membership_view.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Remembers what the platform's list showed and which incarnations were
/// heard. Silence never makes a VM gone.
class fleet_history {
public:
  /// Takes the platform's list, corrected by membership.
  void listed(std::span<const member> Members, instant Now);
  /// A message of \p Sender arrived: it was not gone until now.
  void heard(const vm_incarnation &Sender, instant Now);

  /// True if, for at least \p Least, the list has dropped the VM after
  /// showing it or a later incarnation of it was known.
  bool goneFor(const vm_incarnation &Vm, duration Least, instant Now) const;
  bool isDropped(const vm_name &Vm) const { return DroppedAt.contains(Vm); }

private:
  void noteIncarnation(const vm_incarnation &Sender, instant Now);

  struct newest_incarnation {
    incarnation Incarnation;
    instant Since;
  };

  std::unordered_map<vm_name, bool> Shown; ///< True if in the latest list.
  std::unordered_map<vm_name, instant> DroppedAt;
  std::unordered_map<vm_name, newest_incarnation> Newest;
};

} // namespace peridot
