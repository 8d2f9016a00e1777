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

/// Read on the control thread; replaced by the membership driver.
struct membership_view {
  std::vector<member> Members; ///< With this VM itself.
};

} // namespace peridot
