/// \file
/// Decides from the calls to the store whether it is reachable.
#pragma once

#include <array>
#include <span>

#include "state/registry/types/fleet_collection.h"

namespace peridot {

/// One call to the store that failed.
struct failed_call {
  /// Number of consecutive failures of the collection, with this one.
  unsigned Failures = 0;
  /// Whether the store responded, with something that cannot be used.
  bool WasAnswered = false;
};

/// Two failed calls for a collection in a row show that the store is
/// unreachable, unless another collection has been read meanwhile: then only
/// this one cannot be read, and the others go on.
class store_reachability {
public:
  /// \param Followed collections that the VM reads.
  explicit store_reachability(std::span<const fleet_collection> Followed)
      : Followed(Followed) {}

  void recordSuccess(fleet_collection Collection);
  void recordFailure(fleet_collection Collection, const failed_call &Call);
  /// Records that other VMs do not reach the store.
  void recordUnreachable() { IsReachableNow = false; }

  bool isReachable() const { return IsReachableNow; }
  /// Returns the collection to read while the store is unreachable.
  /// \param Preferred collection to read unless the store's response to it was
  ///        of no use.
  fleet_collection probed(fleet_collection Preferred) const;

private:
  struct collection_state {
    bool HasFailed = false; ///< Since its last success.
    /// Whether another collection was read since the first of its failures.
    bool FailsAlone = false;
    /// Whether the store's last response was of no use.
    bool IsUnusable = false;
  };

  collection_state &stateOf(fleet_collection Collection) {
    return States[static_cast<std::size_t>(Collection)];
  }
  const collection_state &stateOf(fleet_collection Collection) const {
    return States[static_cast<std::size_t>(Collection)];
  }

  std::span<const fleet_collection> Followed;
  /// Indexed by fleet_collection.
  std::array<collection_state, AllCollections.size()> States{};
  bool IsReachableNow = false;
};

} // namespace peridot
