#include "protocol/store_messages/store_codec.h"

#include <algorithm>

#include <store_messages_generated.h>

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;
using encoded_body = std::pair<wire::StoreBody, flatbuffers::Offset<void>>;

encoded_body encode(FlatBufferBuilder &Builder, const store_changes &Changes) {
  const auto Document = Builder.CreateString(Changes.Document);
  return {wire::StoreBody_StoreChanges,
          wire::CreateStoreChanges(
              Builder, static_cast<std::uint8_t>(Changes.Collection),
              Changes.Range.After, Changes.Range.Position, Document)
              .Union()};
}

encoded_body encode(FlatBufferBuilder &Builder, const watcher_report &Report) {
  return {wire::StoreBody_ReaderReport,
          wire::CreateReaderReport(
              Builder, Report.StoreResponds, Report.ConfigurationPosition,
              Report.TargetsPosition,
              static_cast<std::uint64_t>(Report.RespondingFor.count()),
              Report.Revision)
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
              Response.Revision, Response.TargetsPosition)
              .Union()};
}

/// Returns nullopt if changes of the collection are not relayed.
std::optional<store_changes> decode(const wire::StoreChanges &Wire) {
  const auto Collection = static_cast<fleet_collection>(Wire.collection());
  if (Collection != fleet_collection::Configuration &&
      Collection != fleet_collection::Targets)
    return std::nullopt;
  return store_changes{
      .Collection = Collection,
      .Range = {.After = Wire.after(), .Position = Wire.position()},
      .Document = Wire.document()->str()};
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
    if (const auto *Report = Wire.body_as_ReaderReport())
      return watcher_report{.StoreResponds = Report->store_answers(),
                            .RespondingFor = respondingTimeOf(*Report),
                            .Revision = Report->revision(),
                            .ConfigurationPosition =
                                Report->configuration_position(),
                            .TargetsPosition = Report->targets_position()};
    if (const auto *Request = Wire.body_as_ConfirmationWanted())
      return confirmation_request{.Number = Request->number()};
    if (const auto *Response = Wire.body_as_ConfirmationGiven())
      return confirmation_response{
          .Number = Response->number(),
          .Age = std::chrono::milliseconds(Response->age_ms()),
          .Revision = Response->revision(),
          .TargetsPosition = Response->targets_position()};
  }
  return fail(error_kind::Protocol, "a peer's store message is malformed",
              "run the same version of peridotport on all VMs");
}

} // namespace peridot
