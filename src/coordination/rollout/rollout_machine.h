/// \file
/// Which configuration is in force on this VM: never a lower revision.
#pragma once

#include <string>
#include <variant>

#include "state/base/types/error.h"
#include "state/base/types/instant.h"
#include "state/configuration/configuration_index.h"

namespace peridot {

/// A whole configuration was read, from the platform or a peer.
struct configuration_received {
  fleet_configuration Configuration;
};

/// Someone confirmed with the platform that \p Current is the newest revision.
struct revision_confirmed {
  revision Current;
  instant ConfirmedAt; ///< On this VM's boot clock.
};

using rollout_event = std::variant<configuration_received, revision_confirmed>;

/// The configuration that is in force from now on.
struct configuration_in_force {
  configuration_ptr Configuration;
};

/// The event changed nothing; says why.
struct rollout_ignored {
  std::string Reason;
};

using rollout_effect = std::variant<configuration_in_force, rollout_ignored>;

struct rollout_options {
  /// How long keys count as fresh after the last confirmation.
  duration FreshnessLimit = std::chrono::seconds(4);
};

/// Holds the configuration in force and how lately it was confirmed.
class rollout_machine {
public:
  explicit rollout_machine(rollout_options Options) : Options(Options) {}

  rollout_effect handle(const rollout_event &Event);

  revision inForce() const;
  /// True while a withdrawal cannot have been missed for longer than the limit.
  bool keysAreFresh(instant Now) const;

private:
  rollout_effect accept(const configuration_received &Event);
  rollout_effect accept(const revision_confirmed &Event);

  rollout_options Options;
  configuration_ptr InForce;
  instant LastConfirmed{};
};

} // namespace peridot
