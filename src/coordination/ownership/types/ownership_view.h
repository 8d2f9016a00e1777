/// \file
/// What other parts need to know of ownership.
#pragma once

#include <unordered_map>

#include "state/base/types/instant.h"
#include "state/ownership/types/shard_map.h"

namespace peridot {

/// Read on the control thread; replaced by the ownership driver.
struct ownership_view {
  shard_map Map;
  /// Shards this VM owns, with the time until which its lease holds.
  std::unordered_map<shard_number, instant> ActingUntil;

  /// True if this VM may act as the owner of \p Shard at \p Now.
  bool mayAct(shard_number Shard, instant Now) const {
    const auto Found = ActingUntil.find(Shard);
    return Found != ActingUntil.end() && Now < Found->second;
  }
};

} // namespace peridot
