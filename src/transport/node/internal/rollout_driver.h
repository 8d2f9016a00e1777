/// \file
/// Brings configurations from the platform to the rollout machine and what it
/// decides into the snapshot.
#pragma once

#include <unordered_map>

#include "coordination/rollout/rollout_machine.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread.
class rollout_driver {
public:
  explicit rollout_driver(control_context &Context);

  void start();
  revision inForce() const { return Machine.inForce(); }

private:
  task<void> watchCurrent();
  /// Reads the manifest's documents and offers the whole to the machine.
  task<result<void>> load(configuration_manifest Manifest);
  task<result<service_document>> document(std::string Digest);
  void confirm(revision Revision, instant At);
  void updateFreshness(instant Now);

  control_context &Context;
  rollout_machine Machine;
  /// Documents by digest, so that only changed ones are read.
  std::unordered_map<std::string, service_document> Documents;
  std::uint64_t WatchedVersion = 0;
  timer_subscription FreshnessTimer;
};

} // namespace peridot
