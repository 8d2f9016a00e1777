/// \file
/// Publishes the targets that registered in the platform's store.
#pragma once

#include <memory>
#include <optional>
#include <span>

#include "coordination/registry/target_registry.h"
#include "transport/node/control_context.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Runs on the control thread. Updates the targets of the routing snapshot and
/// logs why a target is in use or not.
class target_publisher {
public:
  explicit target_publisher(node_services &Services) : Services(Services) {}

  void start();
  /// Applies a list of all entries or the changes since the last result.
  void apply(const store_items &Items, bool IsList);
  /// Records that targets said in responses that they leave.
  void recordLeaving(std::span<const target_leaving> Leaving);
  /// Sets since when the store has been available to at least one known VM;
  /// empty: it is available to none.
  void setStoreAvailableSince(std::optional<instant> Since, instant Now);
  /// Leaves the targets of these data centres out from now on. With
  /// node_settings::EvacuationBound no target is published before.
  void setEvacuated(std::shared_ptr<const data_center_set> DataCenters);
  /// Whether the targets have been listed.
  bool isListed() const { return Position > 0; }
  /// Returns the number of targets in a data centre, in use or not.
  std::size_t countIn(const data_center_name &DataCenter) const {
    return Registry.countIn(DataCenter);
  }

private:
  static void logLeaving(const target_leaving &Event);
  void expire(instant Now);
  /// Logs what the registry decided since the last call.
  void logDecisions();
  void publish();

  node_services &Services;
  target_registry Registry;
  /// Null: unknown, or the fleet has no evacuations.
  std::shared_ptr<const data_center_set> Evacuated;
  bool IsStoreAvailable = false; ///< To at least one known VM.
  std::uint64_t Position = 0;    ///< Of the last result in the store's history.
  timer_subscription ExpiryTimer;
};

} // namespace peridot
