/// \file
/// The control plane on a platform whose store holds configuration and targets.
#pragma once

#include "coordination/registry/registration_monitor.h"
#include "transport/node/internal/cold_target_driver.h"
#include "transport/node/internal/hosting_driver.h"
#include "transport/node/internal/store_follower.h"
#include "transport/node/internal/store_relay.h"
#include "transport/operators/operator_server.h"

namespace peridot {

/// Runs on the control thread.
class store_control {
public:
  explicit store_control(node_services &Services);

  /// Opens the directory port for callers and the readiness port for the
  /// platform.
  result<void> listen();
  void start();
  traffic_hooks hooks();
  /// Returns the node's state for operators, as JSON.
  std::string status() const;
  bool isReady() const;
  /// Notifies the other VMs and the store that this VM is leaving.
  void leave();
  /// Applies changed settings.
  void settingsChanged();
  /// Maximum time for which callers may use an earlier address response.
  std::chrono::milliseconds addressLifetime() const;

private:
  /// Sets the fleet key if it is among the entries of the VMs.
  void findFleetKey(const store_items &Items);
  void setFleetKey(const fleet_key &Key);
  /// Creates the fleet key unless it is read from the store first.
  task<void> obtainFleetKey();
  /// Passes on which targets said in responses that they leave. Thread-safe.
  void reportLeaving(std::span<const attempt_observation> Attempts);
  /// Writes this VM's entry until the store confirms it.
  task<void> registerSelf();
  /// Registers this VM again if its entry was lost.
  /// \param Position up to which the list of VMs is complete.
  void checkRegistration(std::uint64_t Position);
  task<void> unregister();
  operator_response respond(const operator_request &Request) const;

  node_services &Services;
  const platform_adapter &Adapter;
  cold_target_driver Cold;
  fleet_store Store;
  hosting_driver Hosting;
  store_follower Follower;
  store_relay Relay;
  operator_server Directory;
  operator_server Readiness;
  bool IsFleetKeyKnown = false;
  registration_monitor Registration;
  bool IsRegistering = false;
  bool IsLeaving = false;
};

} // namespace peridot
