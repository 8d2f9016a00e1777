/// \file
/// Which configuration is in force on this VM: never a lower revision.
#pragma once

#include <string>
#include <variant>

#include "state/base/types/error.h"
#include "state/configuration/configuration_index.h"

namespace peridot {

/// A whole configuration was read, from the platform or a peer.
struct configuration_received {
  fleet_configuration Configuration;
};

using rollout_event = std::variant<configuration_received>;

/// The configuration that is in force from now on.
struct configuration_in_force {
  configuration_ptr Configuration;
};

/// The event changed nothing; says why.
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
