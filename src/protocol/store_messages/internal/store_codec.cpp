#include "protocol/store_messages/store_codec.h"

#include <algorithm>

#include <store_messages_generated.h>

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;
using encoded_body = std::pair<wire::StoreBody, flatbuffers::Offset<void>>;

flatbuffers::Offset<wire::PackedDocument>
encodeDocument(FlatBufferBuilder &Builder, const packed_document &Document) {
  const auto BaseName = Builder.CreateString(Document.BaseName);
  const auto Bytes = Builder.CreateVector(
      reinterpret_cast<const std::uint8_t *>(Document.Bytes.data()),
      Document.Bytes.size());
  return wire::CreatePackedDocument(Builder, Document.Size, BaseName,
                                    Document.BaseHash, Bytes);
}

encoded_body encode(FlatBufferBuilder &Builder, const store_changes &Changes) {
  const auto Document = encodeDocument(Builder, Changes.Document);
  return {wire::StoreBody_StoreChanges,
          wire::CreateStoreChanges(
              Builder, static_cast<std::uint8_t>(Changes.Collection),
              Changes.Range.After, Changes.Range.Position, Document)
              .Union()};
}

encoded_body encode(FlatBufferBuilder &Builder,
                    const store_snapshot &Snapshot) {
  const auto Document = encodeDocument(Builder, Snapshot.Document);
  return {wire::StoreBody_StoreSnapshot,
          wire::CreateStoreSnapshot(
              Builder, static_cast<std::uint8_t>(Snapshot.Collection),
              Snapshot.Position, Document, Snapshot.LastChange)
              .Union()};
}

encoded_body encode(FlatBufferBuilder &Builder,
                    const snapshot_request &Request) {
  return {wire::StoreBody_SnapshotWanted,
          wire::CreateSnapshotWanted(
              Builder, static_cast<std::uint8_t>(Request.Collection))
              .Union()};
}

encoded_body encode(FlatBufferBuilder &Builder, const watcher_report &Report) {
  return {wire::StoreBody_ReaderReport,
          wire::CreateReaderReport(
              Builder, Report.StoreResponds, Report.ConfigurationChange,
              Report.TargetsChange,
              static_cast<std::uint64_t>(Report.RespondingFor.count()),
              Report.Revision, Report.VmsChange, Report.EvacuationsChange)
              .Union()};
}

encoded_body encode(FlatBufferBuilder &Builder,
                    const confirmation_request &Request) {
  return {wire::StoreBody_ConfirmationWanted,
          wire::CreateConfirmationWanted(Builder, Request.Number).Union()};
}

encoded_body encode(FlatBufferBuilder &Builder,
                    const confirmation_response &Response) {
  return {wire::StoreBody_ConfirmationGiven,
          wire::CreateConfirmationGiven(
              Builder, Response.Number,
              static_cast<std::uint32_t>(Response.Age.count()),
              Response.Revision, Response.TargetsChange)
              .Union()};
}

/// Returns nullopt if there is no such collection.
std::optional<fleet_collection> decodeCollection(std::uint8_t Wire) {
  const auto Collection = static_cast<fleet_collection>(Wire);
  switch (Collection) {
  case fleet_collection::Configuration:
  case fleet_collection::Targets:
  case fleet_collection::Vms:
  case fleet_collection::Evacuations:
    return Collection;
  }
  return std::nullopt;
}

packed_document decodeDocument(const wire::PackedDocument &Wire) {
  packed_document Document{.Size = Wire.size(), .BaseHash = Wire.base_hash()};
  if (Wire.base_name())
    Document.BaseName = Wire.base_name()->str();
  const auto *Begin = reinterpret_cast<const char *>(Wire.bytes()->data());
  Document.Bytes.assign(Begin, Wire.bytes()->size());
  return Document;
}

std::optional<store_message> decode(const wire::StoreChanges &Wire) {
  const auto Collection = decodeCollection(Wire.collection());
  if (!Collection)
    return std::nullopt;
  return store_changes{
      .Collection = *Collection,
      .Range = {.After = Wire.after(), .Position = Wire.position()},
      .Document = decodeDocument(*Wire.packed())};
}

std::optional<store_message> decode(const wire::StoreSnapshot &Wire) {
  const auto Collection = decodeCollection(Wire.collection());
  if (!Collection)
    return std::nullopt;
  return store_snapshot{.Collection = *Collection,
                        .Position = Wire.position(),
                        .LastChange = Wire.last_change(),
                        .Document = decodeDocument(*Wire.packed())};
}

std::optional<store_message> decode(const wire::SnapshotWanted &Wire) {
  const auto Collection = decodeCollection(Wire.collection());
  if (!Collection)
    return std::nullopt;
  return snapshot_request{.Collection = *Collection};
}

/// Bounded, because a peer's number could otherwise overflow a time.
std::chrono::milliseconds respondingTimeOf(const wire::ReaderReport &Wire) {
  constexpr std::chrono::milliseconds MaxRespondingTime = std::chrono::hours(1);
  return std::chrono::milliseconds(
      std::min<std::uint64_t>(Wire.answering_ms(), MaxRespondingTime.count()));
}

} // namespace

std::vector<std::byte> encodeStoreMessage(const store_message &Message) {
  FlatBufferBuilder Builder;
  const auto [Type, Body] = std::visit(
      [&](const auto &Each) { return encode(Builder, Each); }, Message);
  Builder.Finish(wire::CreateStoreMessage(Builder, Type, Body));
  const auto *Begin =
      reinterpret_cast<const std::byte *>(Builder.GetBufferPointer());
  return {Begin, Begin + Builder.GetSize()};
}

result<store_message> decodeStoreMessage(std::span<const std::byte> Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (wire::VerifyStoreMessageBuffer(Verifier)) {
    const wire::StoreMessage &Wire = *wire::GetStoreMessage(Data);
    if (const auto *Changes = Wire.body_as_StoreChanges())
      if (auto Decoded = decode(*Changes))
        return *std::move(Decoded);
    if (const auto *Snapshot = Wire.body_as_StoreSnapshot())
      if (auto Decoded = decode(*Snapshot))
        return *std::move(Decoded);
    if (const auto *Request = Wire.body_as_SnapshotWanted())
      if (auto Decoded = decode(*Request))
        return *std::move(Decoded);
    if (const auto *Report = Wire.body_as_ReaderReport())
      return watcher_report{
          .StoreResponds = Report->store_answers(),
          .RespondingFor = respondingTimeOf(*Report),
          .Revision = Report->revision(),
          .ConfigurationChange = Report->configuration_position(),
          .TargetsChange = Report->targets_position(),
          .VmsChange = Report->vms_position(),
          .EvacuationsChange = Report->evacuations_position()};
    if (const auto *Request = Wire.body_as_ConfirmationWanted())
      return confirmation_request{.Number = Request->number()};
    if (const auto *Response = Wire.body_as_ConfirmationGiven())
      return confirmation_response{
          .Number = Response->number(),
          .Age = std::chrono::milliseconds(Response->age_ms()),
          .Revision = Response->revision(),
          .TargetsChange = Response->targets_position()};
  }
  return fail(error_kind::Protocol, "a peer's store message is malformed",
              "run the same version of peridotport on all VMs");
}

} // namespace peridot
