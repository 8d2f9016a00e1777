/// \file
/// View of the fleet's VMs for other components.
#pragma once

#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// One VM of the fleet in the view of this VM.
struct member {
  vm_name Vm;
  data_center_name DataCenter;
  incarnation Incarnation; ///< 0 until the incarnation is known.
  bool Leaving = false;
  bool Suspected = false; ///< Whether a quorum of observers reports silence.

  bool operator==(const member &) const = default;
};

/// A directed link on which the receiver reports that no heartbeats arrive.
struct silent_link {
  vm_name From;
  vm_name To;

  bool operator==(const silent_link &) const = default;
};

/// Snapshot that the membership driver replaces; read on the control thread
/// only.
struct membership_view {
  std::vector<member> Members; ///< All listed VMs, including this one.
  std::vector<silent_link> SilentLinks;
  /// Highest configuration revision that a received heartbeat contained.
  revision HighestRevision;

  bool operator==(const membership_view &) const = default;
};

} // namespace peridot
