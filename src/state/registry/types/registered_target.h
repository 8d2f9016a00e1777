/// \file
/// Registration of a target with the platform.
#pragma once

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Whether a target accepts new requests, as reported by the target.
enum class target_phase { Ready, Draining };

/// A target's entry in the platform's store.
struct registered_target {
  target Target;
  service_name Service;
  target_phase Phase = target_phase::Ready;
  /// Remaining time in which the target is cold, when it wrote its entry.
  std::chrono::milliseconds RemainingWarmUp{0};
  /// Wall-clock time of the target's start in milliseconds; distinguishes
  /// restarts under the same name.
  std::int64_t StartedAt = 0;

  bool operator==(const registered_target &) const = default;
};

} // namespace peridot
