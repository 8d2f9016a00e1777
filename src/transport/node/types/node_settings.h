/// \file
/// Settings of one node, and the ports that it reports back.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "coordination/hosting/host_election.h"
#include "protocol/platform_documents/platform_documents.h"
#include "state/base/types/identifiers.h"
#include "transport/platform/types/platform_adapter.h"

namespace peridot {

/// Settings of one node; validated by the program that reads them.
struct node_settings {
  vm_name Vm;
  data_center_name DataCenter;
  std::string ListenAddress = "127.0.0.1"; ///< Numeric IP address.
  std::uint16_t CallerPort = 0; ///< 0: chosen by the operating system.
  std::uint16_t PeerPort = 0;
  std::uint16_t OperatorPort = 0;
  std::string PlatformAddress = "127.0.0.1"; ///< Numeric IP address.
  std::uint16_t PlatformPort = 0;
  /// VMs to contact until the platform's list has been read; may be outdated.
  std::vector<listed_vm> Seeds;
  std::string FleetKey; ///< Shared by all VMs of the fleet; never logged.
  unsigned TrafficThreads = 1;
  /// Set if the platform's store holds configuration and targets; selects the
  /// store-based control plane.
  std::optional<platform_adapter> Adapter;
  std::string DirectoryAddress; ///< Numeric IP address; only with an adapter.
  /// Port at which callers request VM addresses; only with an adapter.
  std::uint16_t DirectoryPort = 0;
  /// Port of the platform's readiness checks; only with an adapter.
  std::uint16_t ReadinessPort = 0;
  /// Maximum time for which a revoked key may still be accepted.
  std::chrono::milliseconds KeyStalenessLimit{4'500};
  /// Retry budget of the whole fleet for each service, per window: this ratio
  /// of the requests plus RetryExtra.
  double RetryRatio = 0.1;
  double RetryExtra = 10;
  rate_tolerance RateTolerance; ///< Only with an adapter.
  /// Minimum share of a service's healthy targets that stays in use while many
  /// requests fail.
  double FloorShare = 0.5;
  /// Maximum time from the confirmation of a data centre's evacuation until no
  /// request reaches its targets. Empty: the deployment has no evacuations, and
  /// the store is not asked for them. Only with an adapter.
  std::optional<std::chrono::milliseconds> EvacuationBound;
  vm_resources Resources; ///< Of this VM; only with an adapter.
  /// Memory of this VM, in units of 1,000,000 bytes; 0: unknown.
  double MemoryMegabytes = 0;
  std::chrono::milliseconds AddressTimeToLive{10'000};
  /// Maximum time that a shutdown waits for running requests.
  std::chrono::milliseconds ShutdownLimit{60'000};
  /// Called on the control thread when an operator requests a drain.
  std::function<void()> OnDrain = [] {};
};

/// Ports that a started node listens on.
struct node_ports {
  std::uint16_t Caller = 0;
  std::uint16_t Peer = 0;
  std::uint16_t Operator = 0;
};

} // namespace peridot
