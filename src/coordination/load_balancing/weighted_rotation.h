/// \file
/// Distributes the requests of a route over services by weight, evenly in time.
#pragma once

#include <span>
#include <unordered_map>
#include <vector>

#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// Smooth weighted round robin: in each run of as many requests as the sum of
/// the weights, each service gets exactly its weight.
class weighted_rotation {
public:
  /// Returns the index of the next service; \p Services must not be empty.
  std::size_t next(std::span<const weighted_service> Services);

private:
  std::vector<std::int64_t> Credits;
};

} // namespace peridot
