#include "coordination/registry/collection_sync.h"

#include <algorithm>
#include <utility>

namespace peridot {

sync_step collection_sync::next() {
  if (Pause > duration{0})
    return pause_step{std::exchange(Pause, duration{0})};
  // After a failed call, a watch would show only at the next change that the
  // store is available again; a list shows it at once.
  if (needsList())
    return list_step{};
  return watch_step{*Position};
}

void collection_sync::reached(std::uint64_t Reached, bool Changed) {
  const bool IsList = needsList();
  Position = Reached;
  Failures = 0;
  HasGap = false;
  Pause = Changed && !IsList ? Options.BatchDelay : duration{0};
}

relay_verdict collection_sync::relayed(const relayed_range &Range) {
  if (!Position || Range.After > *Position) {
    HasGap = true;
    return relay_verdict::Missing;
  }
  if (Range.Position <= *Position)
    return relay_verdict::Known;
  Position = Range.Position;
  return relay_verdict::Apply;
}

void collection_sync::othersReached(std::uint64_t Reached) {
  PeerPosition = std::max(PeerPosition, Reached);
}

void collection_sync::compareWithOthers() {
  HasGap |= Position && ExpectedPosition > *Position;
  ExpectedPosition = PeerPosition;
}

void collection_sync::historyGone() {
  Position.reset();
  Failures = 0;
}

void collection_sync::failed() {
  constexpr unsigned MaxDoublings = 8;
  Pause = std::min(Options.MaxRetryDelay,
                   Options.InitialRetryDelay *
                       (1U << std::min(Failures, MaxDoublings)));
  ++Failures;
}

} // namespace peridot
