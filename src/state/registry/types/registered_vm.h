/// \file
/// Registration of a VM of the fleet with the platform.
#pragma once

#include <string>

#include "state/base/types/identifiers.h"

namespace peridot {

/// A VM's entry in the platform's store.
struct registered_vm {
  vm_name Vm;
  data_center_name DataCenter;
  std::string Address; ///< IP address.
  std::uint16_t CallerPort = 0;
  std::uint16_t PeerPort = 0;
  incarnation Incarnation;
  /// Caller requests per second that the VM can handle.
  double MaxRequestsPerSecond = 1'000;

  bool operator==(const registered_vm &) const = default;
};

} // namespace peridot
