/// \file
/// Puts the evacuations of data centres in force.
#pragma once

#include "coordination/registry/evacuation_registry.h"
#include "transport/node/control_context.h"
#include "transport/node/internal/target_publisher.h"
#include "transport/platform/types/fleet_store.h"

namespace peridot {

/// Runs on the control thread. Passes the evacuated data centres to the
/// target_publisher, and logs when an evacuation begins and ends here.
class evacuation_publisher {
public:
  evacuation_publisher(node_services &Services, target_publisher &Targets)
      : Services(Services), Targets(Targets) {}

  /// Applies a list of all entries or the changes since the last result.
  void apply(const store_items &Items, bool IsList);

private:
  bool applyList(const store_items &Items);
  bool applyChange(const store_item &Item);
  void record(const evacuation_decision &Decision);

  node_services &Services;
  target_publisher &Targets;
  evacuation_registry Registry;
  std::uint64_t Position = 0; ///< Of the last result in the store's history.
};

} // namespace peridot
