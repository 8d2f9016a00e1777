/// \file
/// Load that a target reports in its responses.
#pragma once

namespace peridot {

/// Requests at a target, summed over all VMs.
struct reported_load {
  unsigned Running = 0;
  unsigned Waiting = 0;
  unsigned Slots = 0; ///< 0: nothing was reported.
};

} // namespace peridot
