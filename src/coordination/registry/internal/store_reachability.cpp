#include "coordination/registry/store_reachability.h"

#include <algorithm>

namespace peridot {

namespace {

/// Number of consecutive failures after which the store counts as unreachable.
/// A single failure shows neither that it is unreachable nor that it is
/// reachable again.
constexpr unsigned FailuresUntilUnreachable = 2;

} // namespace

void store_reachability::recordSuccess(fleet_collection Collection) {
  IsReachableNow = true;
  for (collection_state &Each : States)
    Each.FailsAlone = Each.HasFailed;
  stateOf(Collection) = {};
}

void store_reachability::recordFailure(fleet_collection Collection,
                                       const failed_call &Call) {
  collection_state &State = stateOf(Collection);
  State.HasFailed = true;
  State.IsUnusable = Call.WasAnswered;
  if (Call.Failures >= FailuresUntilUnreachable && !State.FailsAlone)
    IsReachableNow = false;
  const auto IsUnusable = [this](fleet_collection Each) {
    return stateOf(Each).IsUnusable;
  };
  // Nothing distinguishes the collections, so that they are read in turn again.
  if (std::ranges::all_of(Followed, IsUnusable))
    for (collection_state &Each : States)
      Each.IsUnusable = false;
}

fleet_collection store_reachability::probed(fleet_collection Preferred) const {
  if (!stateOf(Preferred).IsUnusable)
    return Preferred;
  const auto Found =
      std::ranges::find_if(Followed, [this](fleet_collection Each) {
        return !stateOf(Each).IsUnusable;
      });
  return Found == Followed.end() ? Preferred : *Found;
}

} // namespace peridot
