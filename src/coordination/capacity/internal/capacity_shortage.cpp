#include "coordination/capacity/capacity_shortage.h"

#include <utility>

namespace peridot {

namespace {

/// Time without a rejected request after which a shortage has ended.
constexpr std::chrono::seconds QuietTime{5};

} // namespace

bool capacity_shortage::recordRejection(instant Now) {
  LastRejectionAt = Now;
  if (RejectedRequests++ > 0)
    return false;
  BeganAt = Now;
  return true;
}

std::optional<ended_shortage> capacity_shortage::takeEnded(instant Now) {
  if (RejectedRequests == 0 || Now - LastRejectionAt < QuietTime)
    return std::nullopt;
  return ended_shortage{.Length = LastRejectionAt - BeganAt,
                        .RejectedRequests = std::exchange(RejectedRequests, 0)};
}

} // namespace peridot
