/// \file
/// Connects the health coordinator to traffic threads, peers and the routing
/// snapshot.
#pragma once

#include "coordination/health/health_coordinator.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread.
class health_driver {
public:
  explicit health_driver(control_context &Context);

  void start();
  /// Passes observed attempts to the health coordinator. Thread-safe.
  void submitAttempts(std::vector<attempt_observation> Attempts);

private:
  void receive(const peer_hello &Sender, bytes_view Body);
  void tick();
  void apply(const health_effects &Effects);
  void publishConditions();
  health_context fleetView() const;

  control_context &Context;
  health_coordinator Coordinator;
  configuration_ptr Configuration;
  timer_subscription TickTimer;
};

} // namespace peridot
