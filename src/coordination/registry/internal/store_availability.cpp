#include "coordination/registry/store_availability.h"

#include <algorithm>

namespace peridot {

void store_availability::record(instant Since, instant At) {
  const bool Continues =
      Start && At - LastResponseAt <= Options.MaxInterruption;
  Start = Continues ? std::min(*Start, Since) : Since;
  LastResponseAt = std::max(LastResponseAt, At);
}

std::optional<instant> store_availability::availableSince(instant Now) const {
  if (!Start || Now - LastResponseAt >= Options.SilenceLimit)
    return std::nullopt;
  return Start;
}

} // namespace peridot
