/// \file
/// Counts events in a sliding time window.
#pragma once

#include <array>
#include <cstdint>

#include "state/base/types/instant.h"

namespace peridot {

class sliding_count {
public:
  /// Sets the length of the window; a change resets the count.
  void setWindow(duration Length);
  void note(instant Now);
  /// Returns the number of events in the window that ends at \p Now. May
  /// include events that are older by up to a twentieth of the window.
  unsigned count(instant Now);

private:
  friend struct state_digest; ///< Tests recognise equal states by it.

  static constexpr std::int64_t SlotsInWindow = 20;
  /// The oldest slot counts until all of it has left the window.
  static constexpr std::int64_t Slots = SlotsInWindow + 1;

  void advance(instant Now);

  duration SlotLength{0};
  std::int64_t LatestSlot = 0; ///< Number of the slot that events go to.
  std::array<std::uint32_t, Slots> Counts{};
};

} // namespace peridot
