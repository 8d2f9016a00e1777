#include "coordination/capacity/completion_rate.h"

namespace peridot {

namespace {

/// Number of completions that the average covers.
constexpr unsigned AveragedCompletions = 32;

} // namespace

void completion_rate::record(duration Held) {
  if (Count < AveragedCompletions)
    ++Count;
  MeanHeld += (Held - MeanHeld) / static_cast<duration::rep>(Count);
}

std::optional<duration>
completion_rate::timePerCompletion(std::size_t Slots) const {
  if (Count == 0 || Slots == 0)
    return std::nullopt;
  return MeanHeld / static_cast<duration::rep>(Slots);
}

} // namespace peridot
