#include "protocol/ownership_messages/shard_map_document.h"

#include <map>
#include <stdexcept>

#include <boost/json.hpp>

namespace peridot {

namespace json = boost::json;

namespace {

json::value text(std::string_view Text) {
  return json::value(json::string_view(Text.data(), Text.size()));
}

json::array encodeIncarnation(const vm_incarnation &Id) {
  return {text(Id.Vm.view()), Id.Incarnation.Value};
}

vm_incarnation decodeIncarnation(const json::value &Value) {
  const json::string &Name = Value.at(0).as_string();
  return {vm_name(std::string_view(Name.data(), Name.size())),
          {Value.at(1).to_number<std::uint64_t>()}};
}

/// Decodes an owner and its witnesses; the epoch is set for each shard.
shard_ownership decodeOwner(const json::value &Value) {
  shard_ownership Owner{.Owner = decodeIncarnation(Value.at("vm"))};
  for (const json::value &Witness : Value.at("witnesses").as_array())
    Owner.Witnesses.push_back(decodeIncarnation(Witness));
  return Owner;
}

shard_map mapFrom(const json::value &Value) {
  std::vector<shard_ownership> Owners;
  for (const json::value &Owner : Value.at("owners").as_array())
    Owners.push_back(decodeOwner(Owner));
  const json::array &Rows = Value.at("shards").as_array();
  if (Rows.size() != ShardCount)
    throw std::length_error("the number of shards is wrong");
  shard_map Map;
  for (std::size_t Index = 0; Index < ShardCount; ++Index) {
    if (Rows[Index].is_null())
      continue;
    auto &Row = Map.Shards[Index];
    Row = Owners.at(Rows[Index].at(0).to_number<std::size_t>());
    Row->Epoch = {Rows[Index].at(1).to_number<std::uint64_t>()};
  }
  return Map;
}

} // namespace

std::string encodeShardMap(const shard_map &Map) {
  std::map<vm_incarnation, std::size_t> OwnerIndexes;
  json::array Owners;
  json::array Rows;
  for (const auto &Row : Map.Shards) {
    if (!Row) {
      Rows.push_back(nullptr);
      continue;
    }
    const auto [Entry, IsNewOwner] =
        OwnerIndexes.try_emplace(Row->Owner, Owners.size());
    if (IsNewOwner) {
      json::array Witnesses;
      for (const vm_incarnation &Witness : Row->Witnesses)
        Witnesses.push_back(encodeIncarnation(Witness));
      Owners.push_back({{"vm", encodeIncarnation(Row->Owner)},
                        {"witnesses", std::move(Witnesses)}});
    }
    Rows.push_back(json::array{Entry->second, Row->Epoch.Value});
  }
  return json::serialize(
      json::value{{"owners", std::move(Owners)}, {"shards", std::move(Rows)}});
}

result<shard_map> decodeShardMap(std::string_view Json) {
  try {
    return mapFrom(json::parse(json::string_view(Json.data(), Json.size())));
  } catch (const std::exception &Error) {
    return fail(error_kind::Protocol,
                std::string("the shard map cannot be decoded: ") + Error.what(),
                "run the same version of peridotport on all VMs");
  }
}

} // namespace peridot
