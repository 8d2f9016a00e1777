#include "coordination/load_balancing/weighted_rotation.h"

#include <algorithm>

namespace peridot {

std::size_t
weighted_rotation::next(std::span<const weighted_service> Services) {
  Credits.resize(Services.size(), 0);
  std::int64_t Total = 0;
  for (std::size_t Index = 0; Index < Services.size(); ++Index) {
    Credits[Index] += Services[Index].Weight;
    Total += Services[Index].Weight;
  }
  const auto Best = std::ranges::max_element(Credits);
  *Best -= Total;
  return static_cast<std::size_t>(Best - Credits.begin());
}

} // namespace peridot
