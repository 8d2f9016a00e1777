#include "protocol/rollout_messages/rollout_codec.h"

#include <algorithm>
#include <limits>

#include "protocol/rollout_messages/generated/rollout_generated.h"

namespace peridot {

namespace wire = rollout_wire;

namespace {

using builder = flatbuffers::FlatBufferBuilder;

constexpr std::int64_t MaxAgeMs = std::numeric_limits<std::uint16_t>::max();

/// Rounds up, so that data does not look newer than it is. An age that the wire
/// type cannot hold is sent as the type's maximum.
std::uint16_t ageInMilliseconds(duration Age) {
  const auto Rounded = std::chrono::ceil<std::chrono::milliseconds>(Age);
  return static_cast<std::uint16_t>(
      std::clamp<std::int64_t>(Rounded.count(), 0, MaxAgeMs));
}

struct encoded_body {
  wire::body Kind = wire::body_NONE;
  flatbuffers::Offset<void> Offset;
};

encoded_body encodeBody(builder &Out, const rollout_request &Message) {
  return {
      wire::body_ask,
      wire::Createask(Out, Message.Sequence, Message.InForce.Value).Union()};
}

encoded_body encodeBody(builder &Out, const rollout_response &Message) {
  std::vector<wire::report> Reports;
  Reports.reserve(Message.Reports.size());
  for (const platform_report &Report : Message.Reports)
    Reports.emplace_back(Report.Revision.Value,
                         static_cast<std::uint32_t>(Report.DataCenter.Value),
                         ageInMilliseconds(Report.Age),
                         static_cast<std::uint8_t>(Report.State));
  const auto Rows = Out.CreateVectorOfStructs(Reports);
  return {wire::body_answer,
          wire::Createanswer(Out, Message.Sequence, Message.InForce.Value, Rows)
              .Union()};
}

encoded_body encodeBody(builder &Out, const manifest_request &) {
  return {wire::body_manifest_wanted, wire::Createmanifest_wanted(Out).Union()};
}

encoded_body encodeBody(builder &Out, const manifest_response &Message) {
  const auto Json = Out.CreateString(Message.Json);
  return {wire::body_manifest_offered,
          wire::Createmanifest_offered(Out, Json).Union()};
}

encoded_body encodeBody(builder &Out, const documents_request &Message) {
  const auto Digests = Out.CreateVectorOfStrings(Message.Digests);
  return {wire::body_documents_wanted,
          wire::Createdocuments_wanted(Out, Digests).Union()};
}

encoded_body encodeBody(builder &Out, const document_response &Message) {
  const auto Digest = Out.CreateString(Message.Digest);
  const auto Json = Out.CreateString(Message.Json);
  return {wire::body_document_offered,
          wire::Createdocument_offered(Out, Digest, Json).Union()};
}

rollout_response decodeResponse(const wire::answer &Response) {
  rollout_response Out{.Sequence = Response.sequence(),
                       .InForce = {Response.revision()}};
  if (!Response.reports())
    return Out;
  for (const wire::report *Report : *Response.reports())
    Out.Reports.push_back({.DataCenter = {Report->data_center()},
                           .State = Report->state() == 0
                                        ? platform_state::Confirmed
                                        : platform_state::Unreachable,
                           .Revision = {Report->revision()},
                           .Age = std::chrono::milliseconds(Report->age_ms())});
  return Out;
}

documents_request
decodeDocumentsRequest(const wire::documents_wanted &DocumentsRequest) {
  documents_request Out;
  for (const flatbuffers::String *Digest : *DocumentsRequest.digests())
    Out.Digests.push_back(Digest->str());
  return Out;
}

} // namespace

std::vector<std::byte> encodeRolloutMessage(const rollout_message &Message) {
  builder Out;
  const encoded_body Body = std::visit(
      [&](const auto &Each) { return encodeBody(Out, Each); }, Message);
  Out.Finish(wire::Createmessage(Out, Body.Kind, Body.Offset));
  const auto Bytes =
      std::as_bytes(std::span(Out.GetBufferPointer(), Out.GetSize()));
  return {Bytes.begin(), Bytes.end()};
}

result<rollout_message> decodeRolloutMessage(std::span<const std::byte> Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (wire::VerifymessageBuffer(Verifier)) {
    const wire::message &Message = *wire::Getmessage(Data);
    if (const auto *Request = Message.body_as_ask())
      return rollout_request{Request->sequence(), {Request->revision()}};
    if (const auto *Response = Message.body_as_answer())
      return decodeResponse(*Response);
    if (Message.body_as_manifest_wanted())
      return manifest_request{};
    if (const auto *Manifest = Message.body_as_manifest_offered())
      return manifest_response{Manifest->json()->str()};
    if (const auto *DocumentsRequest = Message.body_as_documents_wanted())
      return decodeDocumentsRequest(*DocumentsRequest);
    if (const auto *Document = Message.body_as_document_offered())
      return document_response{Document->digest()->str(),
                               Document->json()->str()};
  }
  return fail(error_kind::Protocol,
              "a peer's rollout message is malformed or of an unknown kind",
              "run the same version of peridotport on all VMs");
}

} // namespace peridot
