#include "protocol/store_messages/store_codec.h"

#include <array>

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
  const auto Decoded = roundTrip(store_changes{
      .Collection = fleet_collection::Targets,
      .Range = {.After = 7, .Position = 9},
      .Document = {
          .Size = 9, .BaseName = "main", .BaseHash = 77, .Bytes = "packed"}});
  CHECK(Decoded.Collection == fleet_collection::Targets);
  CHECK(Decoded.Range.After == 7);
  CHECK(Decoded.Range.Position == 9);
  CHECK(Decoded.Document.Size == 9);
  CHECK(Decoded.Document.BaseName == "main");
  CHECK(Decoded.Document.BaseHash == 77);
  CHECK(Decoded.Document.Bytes == "packed");
}

TEST_CASE("storeCodec_snapshotRequestAndSnapshot_roundTrip") {
  for (const fleet_collection Each : AllCollections)
    CHECK(roundTrip(snapshot_request{.Collection = Each}).Collection == Each);
  const auto Decoded =
      roundTrip(store_snapshot{.Collection = fleet_collection::Targets,
                               .Position = 31,
                               .LastChange = 29,
                               .Document = {.Size = 5, .Bytes = "packed"}});
  CHECK(Decoded.Collection == fleet_collection::Targets);
  CHECK(Decoded.Position == 31);
  CHECK(Decoded.LastChange == 29);
  CHECK(Decoded.Document.Size == 5);
  CHECK(Decoded.Document.BaseHash == 0);
  CHECK(Decoded.Document.Bytes == "packed");
}

TEST_CASE("storeCodec_watcherReport_roundTrips") {
  const auto Decoded = roundTrip(
      watcher_report{.StoreResponds = true,
                     .RespondingFor = std::chrono::milliseconds(1'500),
                     .Revision = 12,
                     .ConfigurationChange = 4,
                     .TargetsChange = 5,
                     .VmsChange = 6,
                     .EvacuationsChange = 7});
  CHECK(Decoded.StoreResponds);
  CHECK(Decoded.RespondingFor == std::chrono::milliseconds(1'500));
  CHECK(Decoded.Revision == 12);
  CHECK(Decoded.ConfigurationChange == 4);
  CHECK(Decoded.TargetsChange == 5);
  CHECK(Decoded.VmsChange == 6);
  CHECK(Decoded.EvacuationsChange == 7);
}

TEST_CASE("storeCodec_confirmationRequestAndResponse_roundTrip") {
  CHECK(roundTrip(confirmation_request{.Number = 3}).Number == 3);
  const auto Decoded =
      roundTrip(confirmation_response{.Number = 3,
                                      .Age = std::chrono::milliseconds(250),
                                      .Revision = 12,
                                      .TargetsChange = 40});
  CHECK(Decoded.Age == std::chrono::milliseconds(250));
  CHECK(Decoded.Revision == 12);
  CHECK(Decoded.TargetsChange == 40);
}

TEST_CASE("storeCodec_unknownCollection_refused") {
  constexpr auto Unknown = static_cast<fleet_collection>(9);
  const std::array<store_message, 3> Messages{
      store_changes{.Collection = Unknown},
      snapshot_request{.Collection = Unknown},
      store_snapshot{.Collection = Unknown}};
  for (const store_message &Each : Messages)
    CHECK(!decodeStoreMessage(encodeStoreMessage(Each)).has_value());
}

TEST_CASE("storeCodec_randomBytes_decodedOrRefusedWithoutCrash") {
  CHECK(rc::check([](const std::vector<std::uint8_t> &Bytes) {
    decodeStoreMessage(std::as_bytes(std::span(Bytes)));
  }));
}
