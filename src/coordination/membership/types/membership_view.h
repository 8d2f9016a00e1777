/// \file
/// What other parts need to know of the fleet's VMs.
#pragma once

#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// One VM as this VM sees it.
struct member {
  vm_name Vm;
  data_center_name DataCenter;
  incarnation Incarnation; ///< 0 while not heard of.
  bool Leaving = false;
  bool Suspected = false;

  bool operator==(const member &) const = default;
};

/// A link that carries nothing in this direction, by its receiver's word.
struct silent_link {
  vm_name From;
  vm_name To;

  bool operator==(const silent_link &) const = default;
};

/// Read on the control thread; replaced by the membership driver.
struct membership_view {
  std::vector<member> Members; ///< With this VM itself.
  std::vector<silent_link> SilentLinks;
  revision HighestRevision; ///< Of the configurations heard of by heartbeats.

  bool operator==(const membership_view &) const = default;
};

} // namespace peridot
