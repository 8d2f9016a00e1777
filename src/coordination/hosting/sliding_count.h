/// \file
/// How often something happened in a window that ends now.
#pragma once

#include <array>
#include <cstdint>

#include "state/base/types/instant.h"

namespace peridot {

class sliding_count {
public:
  /// Also forgets what was counted when \p Length differs from the last one.
  void setWindow(duration Length);
  void note(instant Now);
  /// Counted in the window; up to a twentieth of it longer.
  unsigned within(instant Now);

private:
  static constexpr std::int64_t SlotsInWindow = 20;
  /// The oldest slot is part of the window until its end has left it.
  static constexpr std::int64_t Slots = SlotsInWindow + 1;

  void advance(instant Now);

  duration SlotLength{0};
  std::int64_t Latest = 0; ///< Number of the slot that is counted in now.
  std::array<std::uint32_t, Slots> Counts{};
};

} // namespace peridot
