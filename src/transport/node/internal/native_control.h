/// \file
/// The native control plane: sharded ownership, shares of rate limits, target
/// verdicts by service owners, and configuration distribution between VMs.
#pragma once

#include "protocol/operator_documents/operator_documents.h"
#include "transport/node/internal/health_driver.h"
#include "transport/node/internal/limits_driver.h"
#include "transport/node/internal/membership_driver.h"
#include "transport/node/internal/operator_pages.h"
#include "transport/node/internal/ownership_driver.h"
#include "transport/node/internal/rollout_driver.h"
#include "transport/node/internal/vm_list_driver.h"

namespace peridot {

/// Owns the drivers of the native control plane. Runs on the control thread.
class native_control {
public:
  explicit native_control(node_services &Services);

  void start();
  traffic_hooks hooks();
  /// Returns the node's state for operators, as JSON.
  std::string status() const;
  /// Whether this VM accepts requests: it has a configuration and fresh keys,
  /// and is not leaving.
  bool isReady() const;
  /// Marks this VM as leaving and announces it to the other VMs.
  void leave();
  /// Called after some settings have changed.
  void settingsChanged();
  /// Maximum time for which callers may use an earlier address response.
  std::chrono::milliseconds addressLifetime() const;

private:
  shard_summary summarizeShards() const;

  node_services &Services;
  platform_client Platform;
  membership_view Members;
  ownership_view Ownership;
  control_context Context;
  rollout_driver Rollout{Context};
  membership_driver Membership{Context};
  vm_list_driver VmList{Context, Membership};
  ownership_driver OwnershipDriver{Context};
  limits_driver Limits{Context};
  health_driver Health{Context};
};

} // namespace peridot
