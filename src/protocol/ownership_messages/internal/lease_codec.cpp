#include "protocol/ownership_messages/lease_codec.h"

#include <optional>

#include <lease_messages_generated.h>

#include "protocol/ownership_messages/shard_map_document.h"
#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;

struct encoded_body {
  wire::LeaseBody Kind = wire::LeaseBody_NONE;
  flatbuffers::Offset<void> Offset;
};

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const lease_request &Message) {
  return {wire::LeaseBody_LeaseQuestion,
          wire::CreateLeaseQuestion(Builder, Message.Sequence).Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const lease_response &Message) {
  return {wire::LeaseBody_LeaseAnswer,
          wire::CreateLeaseAnswer(Builder, Message.Sequence, Message.Confirmed)
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const lease_lapse &Message) {
  const auto Vm = Builder.CreateString(Message.Owner.Vm.str());
  return {wire::LeaseBody_LeaseLapse,
          wire::CreateLeaseLapse(Builder, Vm, Message.Owner.Incarnation.Value,
                                 Message.Final)
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const lapse_request &Message) {
  const auto Vm = Builder.CreateString(Message.Owner.Vm.str());
  return {wire::LeaseBody_LapseRequest,
          wire::CreateLapseRequest(Builder, Vm, Message.Owner.Incarnation.Value,
                                   Message.Final)
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const shard_release &Message) {
  std::vector<wire::ShardTerm> Terms;
  Terms.reserve(Message.Terms.size());
  for (const shard_term &Term : Message.Terms)
    Terms.emplace_back(Term.Epoch.Value,
                       static_cast<std::uint16_t>(Term.Shard.Value));
  const auto Offset = Builder.CreateVectorOfStructs(Terms);
  return {wire::LeaseBody_ShardRelease,
          wire::CreateShardRelease(Builder, Offset).Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder, const map_request &) {
  return {wire::LeaseBody_MapQuestion,
          wire::CreateMapQuestion(Builder).Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const map_response &Message) {
  const auto Map = Builder.CreateString(encodeShardMap(Message.Map));
  return {wire::LeaseBody_MapAnswer,
          wire::CreateMapAnswer(Builder, Message.Version, Map).Union()};
}

vm_incarnation incarnationOf(const flatbuffers::String *Vm,
                             std::uint64_t Number) {
  return {vm_name(std::string_view(Vm->c_str(), Vm->size())), {Number}};
}

std::optional<shard_release> releaseFrom(const wire::ShardRelease &Wire) {
  shard_release Release;
  for (const wire::ShardTerm *Term : *Wire.terms()) {
    if (Term->shard() >= ShardCount)
      return std::nullopt;
    Release.Terms.push_back({{Term->shard()}, {Term->epoch()}});
  }
  return Release;
}

std::optional<map_response> mapFrom(const wire::MapAnswer &Wire) {
  auto Map =
      decodeShardMap(std::string_view(Wire.map()->c_str(), Wire.map()->size()));
  if (!Map)
    return std::nullopt;
  return map_response{Wire.version(), *std::move(Map)};
}

std::optional<lease_message> messageFrom(const wire::LeaseMessage &Wire) {
  switch (Wire.body_type()) {
  case wire::LeaseBody_LeaseQuestion:
    return lease_request{Wire.body_as_LeaseQuestion()->sequence()};
  case wire::LeaseBody_LeaseAnswer: {
    const auto *Response = Wire.body_as_LeaseAnswer();
    return lease_response{Response->sequence(), Response->confirmed()};
  }
  case wire::LeaseBody_LeaseLapse: {
    const auto *Lapse = Wire.body_as_LeaseLapse();
    return lease_lapse{incarnationOf(Lapse->vm(), Lapse->incarnation()),
                       Lapse->final()};
  }
  case wire::LeaseBody_LapseRequest: {
    const auto *Request = Wire.body_as_LapseRequest();
    return lapse_request{incarnationOf(Request->vm(), Request->incarnation()),
                         Request->final()};
  }
  case wire::LeaseBody_ShardRelease:
    return releaseFrom(*Wire.body_as_ShardRelease());
  case wire::LeaseBody_MapQuestion:
    return map_request{};
  case wire::LeaseBody_MapAnswer:
    return mapFrom(*Wire.body_as_MapAnswer());
  default:
    return std::nullopt;
  }
}

} // namespace

std::vector<std::byte> encodeLeaseMessage(const lease_message &Message) {
  FlatBufferBuilder Builder;
  const encoded_body Body = std::visit(
      [&](const auto &Each) { return encodeBody(Builder, Each); }, Message);
  Builder.Finish(wire::CreateLeaseMessage(Builder, Body.Kind, Body.Offset));
  const auto *Begin =
      reinterpret_cast<const std::byte *>(Builder.GetBufferPointer());
  return {Begin, Begin + Builder.GetSize()};
}

result<lease_message> decodeLeaseMessage(std::span<const std::byte> Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  std::optional<lease_message> Message;
  if (wire::VerifyLeaseMessageBuffer(Verifier))
    Message = messageFrom(*wire::GetLeaseMessage(Data));
  if (!Message)
    return fail(error_kind::Protocol, "a peer's lease message is malformed",
                "run the same version of peridotport on all VMs");
  return *std::move(Message);
}

} // namespace peridot
