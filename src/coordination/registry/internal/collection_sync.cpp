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

void collection_sync::recordPosition(std::uint64_t Reached, bool Changed) {
  const bool IsList = needsList();
  Position = Reached;
  if (Changed)
    LastChange = Reached;
  Failures = 0;
  HasGap = false;
  Pause = Changed && !IsList ? Options.BatchDelay : duration{0};
  countResult();
}

void collection_sync::recordList(std::uint64_t Reached, bool Changed) {
  IsPartial = false;
  recordPosition(Reached, Changed);
}

void collection_sync::recordPartialList(std::uint64_t Reached) {
  Position = Position.value_or(Reached);
  Failures = 0;
  HasGap = false;
  IsPartial = true;
  ResultsSincePartialList = 0;
}

void collection_sync::countResult() {
  if (IsPartial && ++ResultsSincePartialList >= Options.ResultsPerPartialList)
    HasGap = true;
}

relay_decision collection_sync::acceptRelayed(const relayed_range &Range) {
  if (!Position || Range.After > *Position) {
    HasGap = true;
    return relay_decision::Missing;
  }
  if (Range.Position <= *Position)
    return relay_decision::Known;
  Position = Range.Position;
  LastChange = Range.Position;
  countResult();
  return relay_decision::Apply;
}

bool collection_sync::acceptSnapshot(std::uint64_t Reached,
                                     std::uint64_t SnapshotChange) {
  if (!accepts(Reached))
    return false;
  Position = Reached;
  LastChange = SnapshotChange;
  HasGap = false;
  IsPartial = false;
  return true;
}

void collection_sync::recordPeerChange(std::uint64_t Change) {
  PeerChange = std::max(PeerChange, Change);
}

void collection_sync::compareWithPeers() {
  HasGap |= Position && ExpectedChange > *Position;
  ExpectedChange = PeerChange;
}

void collection_sync::recordHistoryGone() {
  Position.reset();
  Failures = 0;
}

void collection_sync::recordFailure() {
  constexpr unsigned MaxDoublings = 8;
  Pause = std::min(Options.MaxRetryDelay,
                   Options.InitialRetryDelay *
                       (1U << std::min(Failures, MaxDoublings)));
  ++Failures;
}

} // namespace peridot
