#include "protocol/store_messages/store_codec.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace peridot;

namespace {

/// Encodes and decodes a message; fails the test if decoding fails.
template <typename Message> Message roundTrip(const Message &Original) {
  const auto Decoded = decodeStoreMessage(encodeStoreMessage(Original));
  REQUIRE(Decoded.has_value());
  REQUIRE(std::holds_alternative<Message>(*Decoded));
  return std::get<Message>(*Decoded);
}

} // namespace

TEST_CASE("storeCodec_storeChanges_roundTrip") {
  const auto Decoded =
      roundTrip(store_changes{.Collection = fleet_collection::Targets,
                              .Range = {.After = 7, .Position = 9},
                              .Document = "{}"});
  CHECK(Decoded.Collection == fleet_collection::Targets);
  CHECK(Decoded.Range.After == 7);
  CHECK(Decoded.Range.Position == 9);
  CHECK(Decoded.Document == "{}");
}

TEST_CASE("storeCodec_watcherReport_roundTrips") {
  const auto Decoded = roundTrip(
      watcher_report{.StoreResponds = true,
                     .RespondingFor = std::chrono::milliseconds(1'500),
                     .Revision = 12,
                     .ConfigurationPosition = 4,
                     .TargetsPosition = 5});
  CHECK(Decoded.StoreResponds);
  CHECK(Decoded.RespondingFor == std::chrono::milliseconds(1'500));
  CHECK(Decoded.Revision == 12);
  CHECK(Decoded.ConfigurationPosition == 4);
  CHECK(Decoded.TargetsPosition == 5);
}

TEST_CASE("storeCodec_confirmationRequestAndResponse_roundTrip") {
  CHECK(roundTrip(confirmation_request{.Number = 3}).Number == 3);
  const auto Decoded =
      roundTrip(confirmation_response{.Number = 3,
                                      .Age = std::chrono::milliseconds(250),
                                      .Revision = 12,
                                      .TargetsPosition = 40});
  CHECK(Decoded.Age == std::chrono::milliseconds(250));
  CHECK(Decoded.Revision == 12);
  CHECK(Decoded.TargetsPosition == 40);
}

TEST_CASE("storeCodec_unknownCollection_refused") {
  const store_message Message =
      store_changes{.Collection = static_cast<fleet_collection>(9)};
  CHECK(!decodeStoreMessage(encodeStoreMessage(Message)).has_value());
}

TEST_CASE("storeCodec_randomBytes_decodedOrRefusedWithoutCrash") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Bytes) {
    decodeStoreMessage(std::as_bytes(std::span(Bytes)));
  }));
}
