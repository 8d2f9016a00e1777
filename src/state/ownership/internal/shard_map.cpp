#include "state/ownership/types/shard_map.h"

#include "state/base/hashing.h"

namespace peridot {

namespace {

shard_number shardOfText(std::string_view Kind, std::string_view Name) {
  return {rendezvousWeight(Kind, Name) % ShardCount};
}

} // namespace

shard_number shardOf(const account_name &Account) {
  return shardOfText("account", Account.view());
}

shard_number shardOf(const service_name &Service) {
  return shardOfText("service", Service.view());
}

} // namespace peridot
