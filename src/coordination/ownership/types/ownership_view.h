/// \file
/// View of shard ownership for other components.
#pragma once

#include <unordered_map>

#include "state/base/types/instant.h"
#include "state/ownership/types/shard_map.h"

namespace peridot {

/// Snapshot that the ownership driver replaces; read on the control thread
/// only.
struct ownership_view {
  shard_map Map; ///< Latest known map; may be a peer's copy.
  /// Shards that this VM owns and has not released, with the expiry time of its
  /// lease.
  std::unordered_map<shard_number, instant> ActingUntil;

  /// Whether this VM may act as the owner of \p Shard at \p Now.
  bool mayAct(shard_number Shard, instant Now) const {
    const auto Found = ActingUntil.find(Shard);
    return Found != ActingUntil.end() && Now < Found->second;
  }
};

} // namespace peridot
