#include <doctest/doctest.h>

#include "protocol/ownership_messages/lease_codec.h"
#include "protocol/ownership_messages/shard_map_document.h"

using namespace peridot;

namespace {

struct ownership_codec_fixture {
  const vm_incarnation Owner{vm_name("vm-1"), {1'764'000'000'000'000'000}};
  const std::vector<lease_message> Messages = {
      lease_request{3},
      lease_response{3, true},
      lease_lapse{Owner, true},
      lapse_request{Owner, true},
      shard_release{{{{17}, {4}}, {{255}, {1}}}},
      map_request{},
      map_response{7, mapWith(Owner)}};

  static shard_map mapWith(const vm_incarnation &Owner) {
    shard_map Map;
    Map.Shards[3] = {Owner, {5}, {{vm_name("vm-2"), {8}}}};
    return Map;
  }
};

} // namespace

TEST_CASE_FIXTURE(ownership_codec_fixture,
                  "decodeLeaseMessage_encodedMessage_roundTrips") {
  for (const lease_message &Message : Messages)
    CHECK(decodeLeaseMessage(encodeLeaseMessage(Message)).value() == Message);
}

TEST_CASE_FIXTURE(ownership_codec_fixture,
                  "decodeLeaseMessage_truncatedOrUnknownShard_fails") {
  for (const lease_message &Message : Messages) {
    const auto Bytes = encodeLeaseMessage(Message);
    CHECK_FALSE(decodeLeaseMessage(std::span(Bytes).first(Bytes.size() / 2)));
  }
  const lease_message OutOfRange = shard_release{{{{ShardCount}, {1}}}};
  CHECK_FALSE(decodeLeaseMessage(encodeLeaseMessage(OutOfRange)));
}

TEST_CASE_FIXTURE(ownership_codec_fixture,
                  "decodeShardMap_encodedMap_roundTrips") {
  shard_map Map;
  const shard_ownership Row{Owner, {5}, {{vm_name("vm-2"), {8}}}};
  Map.Shards[0] = Row;
  Map.Shards[255] = Row;
  Map.Shards[255]->Epoch = {6};
  CHECK(decodeShardMap(encodeShardMap(Map)).value() == Map);
  CHECK(decodeShardMap(encodeShardMap({})).value() == shard_map{});
}

TEST_CASE_FIXTURE(ownership_codec_fixture,
                  "decodeShardMap_malformedJson_fails") {
  CHECK_FALSE(decodeShardMap(""));
  CHECK_FALSE(decodeShardMap(R"({"owners":[],"shards":[]})"));
  CHECK_FALSE(decodeShardMap(R"({"owners":[]})"));
}
