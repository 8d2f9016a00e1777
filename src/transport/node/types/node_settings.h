/// \file
/// What one node is told when it starts.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "protocol/platform_documents/platform_documents.h"
#include "state/base/types/identifiers.h"

namespace peridot {

/// Settings of one node, checked by the program that reads them.
struct node_settings {
  vm_name Vm;
  data_center_name DataCenter;
  std::string ListenAddress = "127.0.0.1"; ///< IP number.
  std::uint16_t CallerPort = 0;            ///< 0: chosen by the system.
  std::uint16_t PeerPort = 0;
  std::uint16_t OperatorPort = 0;
  std::string PlatformAddress = "127.0.0.1"; ///< IP number.
  std::uint16_t PlatformPort = 0;
  /// VMs to ask while the platform's list was never read; may be old.
  std::vector<listed_vm> Seeds;
  std::string FleetKey; ///< Shared by all VMs of the fleet; never logged.
  unsigned TrafficThreads = 1;
  std::chrono::seconds AddressTimeToLive{10};
  /// Longest time that a shutdown waits for running requests.
  std::chrono::seconds ShutdownLimit{60};
  /// Called on the control thread when an operator asks the node to leave.
  std::function<void()> OnDrain = [] {};
};

/// Ports that a started node listens on.
struct node_ports {
  std::uint16_t Caller = 0;
  std::uint16_t Peer = 0;
  std::uint16_t Operator = 0;
};

} // namespace peridot
