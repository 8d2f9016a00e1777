/// \file
/// Inputs and result of the choice of a target.
#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Properties of a request that affect the choice.
struct request_traits {
  /// Service of the request; groups the requests that share trials.
  std::string_view Service;
  /// Whether the request can be sent to another target if this attempt fails.
  bool IsRepeatable = false;
  /// Bytes that the request and its response are expected to transfer.
  std::size_t ExpectedBytes = 0;
  std::span<const target_name> Tried; ///< Not chosen again.
  /// Targets that asked for a pause; not chosen, not even for the floor.
  std::span<const target_name> Paused;
  /// Whether other requests try targets that have not been used lately, because
  /// they can be sent again if that fails.
  bool LeavesTrialsToOthers = false;
};

/// Result of a choice.
struct load_balancer_choice {
  const target *Target = nullptr; ///< Null: all were tried or are paused.
  /// Whether the target was chosen because too few targets are in use.
  bool IsForFloor = false;
};

/// Circumstances of one choice.
struct choice_context {
  data_center_name DataCenter; ///< Of this VM.
  instant Now{};
  /// Uniformly distributed random bits.
  std::uint64_t Random = 0;
};

} // namespace peridot
