#include "protocol/limits_messages/limits_codec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <optional>

#include "limits_generated.h"

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;

struct encoded_body {
  wire::LimitsBody Kind = wire::LimitsBody_NONE;
  flatbuffers::Offset<void> Offset;
};

/// Converts a strong number to the width that it has on the wire.
template <typename Strong> std::uint32_t narrow(Strong Number) {
  return static_cast<std::uint32_t>(Number.Value);
}

/// Rounds down, so that encoding never adds tokens.
float roundDown(double Value) {
  const auto Nearest = static_cast<float>(Value);
  if (static_cast<double>(Nearest) <= Value)
    return Nearest;
  return std::nextafter(Nearest, 0.0F);
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const share_request_batch &Batch) {
  std::vector<wire::ShareRequest> Requests;
  Requests.reserve(Batch.Requests.size());
  for (const share_request &Each : Batch.Requests)
    Requests.emplace_back(Each.Account.Value, narrow(Each.ReleasedBelow),
                          narrow(Each.Epoch), roundDown(Each.Demand),
                          roundDown(Each.Level), roundDown(Each.Returned),
                          static_cast<std::uint8_t>(Each.Pool));
  const auto Offset = Builder.CreateVectorOfStructs(Requests);
  return {wire::LimitsBody_ShareRequestBatch,
          wire::CreateShareRequestBatch(Builder, Batch.Sequence,
                                        Batch.SentAt.time_since_epoch().count(),
                                        Offset)
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const share_grant_batch &Batch) {
  std::vector<wire::ShareGrant> Grants;
  Grants.reserve(Batch.Grants.size());
  for (const share_grant &Each : Batch.Grants)
    Grants.emplace_back(Each.Account.Value, narrow(Each.Version),
                        narrow(Each.Epoch), roundDown(Each.Rate),
                        roundDown(Each.Burst), roundDown(Each.Tokens),
                        roundDown(Each.LimitRate), roundDown(Each.LimitBurst),
                        static_cast<std::uint8_t>(Each.Pool));
  const auto Offset = Builder.CreateVectorOfStructs(Grants);
  return {wire::LimitsBody_ShareGrantBatch,
          wire::CreateShareGrantBatch(
              Builder, Batch.Holder.Value,
              Batch.RequestedAt.time_since_epoch().count(), Offset)
              .Union()};
}

bool areFiniteAndNotNegative(std::span<const double> Values) {
  return std::ranges::all_of(
      Values, [](double Value) { return std::isfinite(Value) && Value >= 0; });
}

bool isKnownPool(std::uint8_t Pool) {
  return Pool <= static_cast<std::uint8_t>(pool_kind::Reserve);
}

std::optional<limits_message>
requestsFrom(const wire::ShareRequestBatch &Wire) {
  share_request_batch Batch{.Sequence = Wire.sequence(),
                            .SentAt = instant(duration(Wire.sent_at()))};
  if (!Wire.requests())
    return Batch;
  for (const wire::ShareRequest *Each : *Wire.requests()) {
    const share_request Request{.Account = {Each->account()},
                                .Pool = static_cast<pool_kind>(Each->pool()),
                                .Epoch = {Each->epoch()},
                                .ReleasedBelow = {Each->version_dead_below()},
                                .Demand = Each->demand(),
                                .Level = Each->level(),
                                .Returned = Each->returned()};
    const std::array Numbers{Request.Demand, Request.Level, Request.Returned};
    if (!isKnownPool(Each->pool()) || !areFiniteAndNotNegative(Numbers))
      return std::nullopt;
    Batch.Requests.push_back(Request);
  }
  return Batch;
}

std::optional<limits_message> grantsFrom(const wire::ShareGrantBatch &Wire) {
  share_grant_batch Batch{.Holder = {Wire.borrower()},
                          .RequestedAt =
                              instant(duration(Wire.requested_at()))};
  if (!Wire.grants())
    return Batch;
  for (const wire::ShareGrant *Each : *Wire.grants()) {
    const share_grant Grant{.Account = {Each->account()},
                            .Pool = static_cast<pool_kind>(Each->pool()),
                            .Epoch = {Each->epoch()},
                            .Version = {Each->version()},
                            .Rate = Each->rate(),
                            .Burst = Each->burst(),
                            .Tokens = Each->tokens(),
                            .LimitRate = Each->limit_rate(),
                            .LimitBurst = Each->limit_burst()};
    const std::array Numbers{Grant.Rate, Grant.Burst, Grant.Tokens,
                             Grant.LimitRate, Grant.LimitBurst};
    if (!isKnownPool(Each->pool()) || !areFiniteAndNotNegative(Numbers))
      return std::nullopt;
    Batch.Grants.push_back(Grant);
  }
  return Batch;
}

std::optional<limits_message> messageFrom(const wire::LimitsMessage &Wire) {
  if (const auto *Requests = Wire.body_as_ShareRequestBatch())
    return requestsFrom(*Requests);
  if (const auto *Grants = Wire.body_as_ShareGrantBatch())
    return grantsFrom(*Grants);
  return std::nullopt;
}

tl::unexpected<error> malformed() {
  return fail(error_kind::Protocol, "a peer's limits message is malformed",
              "run the same version of peridotport on all VMs");
}

} // namespace

std::vector<std::byte> encodeLimitsMessage(const limits_message &Message) {
  FlatBufferBuilder Builder;
  const encoded_body Body = std::visit(
      [&](const auto &Each) { return encodeBody(Builder, Each); }, Message);
  Builder.Finish(wire::CreateLimitsMessage(Builder, Body.Kind, Body.Offset));
  const auto Bytes =
      std::as_bytes(std::span(Builder.GetBufferPointer(), Builder.GetSize()));
  return {Bytes.begin(), Bytes.end()};
}

result<limits_message> decodeLimitsMessage(bytes_view Body) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Body.data());
  flatbuffers::Verifier Verifier(Data, Body.size());
  if (!Verifier.VerifyBuffer<wire::LimitsMessage>(nullptr))
    return malformed();
  auto Message = messageFrom(*flatbuffers::GetRoot<wire::LimitsMessage>(Data));
  if (!Message)
    return malformed();
  return std::move(*Message);
}

} // namespace peridot
