#include "protocol/health_messages/health_codec.h"

#include <algorithm>
#include <limits>
#include <optional>

#include <health_messages_generated.h>

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;

struct encoded_body {
  wire::HealthBody Kind = wire::HealthBody_NONE;
  flatbuffers::Offset<void> Offset;
};

/// Converts a count to its wire type; larger counts become the type's maximum.
template <typename Wire, typename Count> Wire saturate(Count Value) {
  constexpr auto Largest = std::numeric_limits<Wire>::max();
  return static_cast<Wire>(std::min<std::uint64_t>(
      static_cast<std::uint64_t>(Value), std::uint64_t{Largest}));
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const service_report &Report) {
  std::vector<wire::TargetCounts> Targets;
  Targets.reserve(Report.Targets.size());
  for (const target_counts &Counts : Report.Targets)
    Targets.emplace_back(saturate<std::uint32_t>(Counts.Target.Value),
                         Counts.Requests,
                         saturate<std::uint16_t>(Counts.Failures),
                         saturate<std::uint16_t>(Counts.Slow));
  const auto Service = Builder.CreateString(Report.Service.str());
  const auto Offset = Builder.CreateVectorOfStructs(Targets);
  const auto Period =
      std::chrono::duration_cast<std::chrono::milliseconds>(Report.Period);
  return {wire::HealthBody_ServiceReport,
          wire::CreateServiceReport(
              Builder, Service, saturate<std::uint32_t>(Period.count()),
              saturate<std::uint32_t>(Report.Requests), Report.Held.Epoch.Value,
              saturate<std::uint32_t>(Report.Held.Number), Offset)
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const service_verdicts &Set) {
  std::vector<flatbuffers::Offset<wire::TargetVerdict>> Targets;
  for (const target_verdict &Verdict : Set.Targets) {
    std::vector<std::string> AvoidedIn;
    for (const data_center_name &DataCenter : Verdict.AvoidedIn)
      AvoidedIn.push_back(DataCenter.str());
    const auto Name = Builder.CreateString(Verdict.Target.str());
    const auto Avoided = Builder.CreateVectorOfStrings(AvoidedIn);
    Targets.push_back(wire::CreateTargetVerdict(
        Builder, Name, static_cast<std::uint8_t>(Verdict.State),
        saturate<std::uint16_t>(Verdict.Relapses), Avoided));
  }
  const auto Service = Builder.CreateString(Set.Service.str());
  const auto Offset = Builder.CreateVector(Targets);
  return {wire::HealthBody_ServiceVerdicts,
          wire::CreateServiceVerdicts(Builder, Service, Set.Version.Epoch.Value,
                                      Set.Version.Number, Offset)
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const drain_notice &Notice) {
  const auto Service = Builder.CreateString(Notice.Service.str());
  return {wire::HealthBody_DrainNotice,
          wire::CreateDrainNotice(Builder, Service,
                                  saturate<std::uint32_t>(Notice.Target.Value))
              .Union()};
}

encoded_body encodeBody(FlatBufferBuilder &Builder,
                        const verdict_query &Query) {
  const auto Service = Builder.CreateString(Query.Service.str());
  return {wire::HealthBody_VerdictQuery,
          wire::CreateVerdictQuery(Builder, Service).Union()};
}

std::string_view viewOf(const flatbuffers::String *Text) {
  return {Text->c_str(), Text->size()};
}

service_report reportFrom(const wire::ServiceReport &Wire) {
  service_report Report{
      .Service = service_name(viewOf(Wire.service())),
      .Period = std::chrono::milliseconds(Wire.period_ms()),
      .Requests = Wire.requests(),
      .Held = {.Epoch = {Wire.held_epoch()}, .Number = Wire.held_number()}};
  if (Wire.targets())
    for (const wire::TargetCounts *Counts : *Wire.targets())
      Report.Targets.push_back({.Target = {Counts->target()},
                                .Requests = Counts->requests(),
                                .Failures = Counts->failures(),
                                .Slow = Counts->slow()});
  return Report;
}

std::optional<service_verdicts>
verdictsFrom(const wire::ServiceVerdicts &Wire) {
  service_verdicts Set{
      .Service = service_name(viewOf(Wire.service())),
      .Version = {.Epoch = {Wire.epoch()}, .Number = Wire.number()}};
  if (!Wire.targets())
    return Set;
  for (const wire::TargetVerdict *Verdict : *Wire.targets()) {
    if (Verdict->state() > static_cast<std::uint8_t>(verdict_state::Draining))
      return std::nullopt;
    Set.Targets.push_back(
        {.Target = target_name(viewOf(Verdict->target())),
         .State = static_cast<verdict_state>(Verdict->state()),
         .Relapses = Verdict->relapses()});
    if (Verdict->avoided_in())
      for (const flatbuffers::String *DataCenter : *Verdict->avoided_in())
        Set.Targets.back().AvoidedIn.emplace_back(viewOf(DataCenter));
  }
  return Set;
}

std::optional<health_message> messageFrom(const wire::HealthMessage &Wire) {
  switch (Wire.body_type()) {
  case wire::HealthBody_ServiceReport:
    return reportFrom(*Wire.body_as_ServiceReport());
  case wire::HealthBody_ServiceVerdicts:
    return verdictsFrom(*Wire.body_as_ServiceVerdicts());
  case wire::HealthBody_DrainNotice: {
    const wire::DrainNotice &Notice = *Wire.body_as_DrainNotice();
    return drain_notice{.Service = service_name(viewOf(Notice.service())),
                        .Target = {Notice.target()}};
  }
  case wire::HealthBody_VerdictQuery:
    return verdict_query{
        service_name(viewOf(Wire.body_as_VerdictQuery()->service()))};
  case wire::HealthBody_NONE:
    break;
  }
  return std::nullopt;
}

} // namespace

std::vector<std::byte> encodeHealthMessage(const health_message &Message) {
  FlatBufferBuilder Builder;
  const encoded_body Body = std::visit(
      [&](const auto &Each) { return encodeBody(Builder, Each); }, Message);
  Builder.Finish(wire::CreateHealthMessage(Builder, Body.Kind, Body.Offset));
  const auto *First =
      reinterpret_cast<const std::byte *>(Builder.GetBufferPointer());
  return {First, First + Builder.GetSize()};
}

result<health_message> decodeHealthMessage(bytes_view Body) {
  flatbuffers::Verifier Verifier(
      reinterpret_cast<const std::uint8_t *>(Body.data()), Body.size());
  if (wire::VerifyHealthMessageBuffer(Verifier))
    if (auto Message = messageFrom(*wire::GetHealthMessage(Body.data())))
      return *std::move(Message);
  return fail(error_kind::Protocol, "a peer's health message is malformed",
              "run the same version of peridotport on all VMs");
}

} // namespace peridot
