/// \file
/// JSON form of the shard map, as the platform's service keeps it.
#pragma once

#include <string>
#include <string_view>

#include "state/base/types/error.h"
#include "state/ownership/types/shard_map.h"

namespace peridot {

/// Name of the object that holds the shard map.
inline constexpr std::string_view ShardsObject = "shards";

/// Each owner is written once, with its witnesses; rows refer to it.
std::string encodeShardMap(const shard_map &Map);
result<shard_map> decodeShardMap(std::string_view Json);

} // namespace peridot
