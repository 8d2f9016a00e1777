#include "state/ownership/types/shard_map.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("shardOf_sameName_sameShardBelowShardCount") {
  CHECK(shardOf(account_name("keepers")) == shardOf(account_name("keepers")));
  CHECK(shardOf(service_name("hive")).Value < ShardCount);
}
