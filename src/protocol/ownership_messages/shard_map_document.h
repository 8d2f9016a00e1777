/// \file
/// JSON encoding of the shard map, as stored in the platform's service.
#pragma once

#include <string>
#include <string_view>

#include "state/base/types/error.h"
#include "state/ownership/types/shard_map.h"

namespace peridot {

/// Name of the object in which the shard map is stored.
inline constexpr std::string_view ShardsObjectName = "shards";

/// Encodes each owner and its witnesses once; shards refer to it by index.
std::string encodeShardMap(const shard_map &Map);
/// Fails with Protocol if \p Json is not a valid shard map.
result<shard_map> decodeShardMap(std::string_view Json);

} // namespace peridot
