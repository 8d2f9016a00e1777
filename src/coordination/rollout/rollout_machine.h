/// \file
/// Decides which configuration is in force on this VM. The revision in force
/// never decreases.
#pragma once

#include <string>
#include <variant>

#include "state/base/types/error.h"
#include "state/configuration/configuration_index.h"

namespace peridot {

/// A complete configuration was loaded from the platform or a peer.
struct configuration_received {
  fleet_configuration Configuration;
};

using rollout_event = std::variant<configuration_received>;

/// A new configuration is in force.
struct configuration_in_force {
  configuration_ptr Configuration;
};

/// The event changed nothing, for the given reason.
struct rollout_ignored {
  std::string Reason;
};

using rollout_effect = std::variant<configuration_in_force, rollout_ignored>;

/// Holds the configuration in force.
class rollout_machine {
public:
  rollout_effect handle(const rollout_event &Event);

  revision inForce() const;

private:
  rollout_effect accept(const configuration_received &Event);

  configuration_ptr InForce;
};

} // namespace peridot
