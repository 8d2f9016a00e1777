#include "protocol/host_messages/host_codec.h"

#include <algorithm>

#include <host_messages_generated.h>

#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;

std::string_view textOf(const flatbuffers::String &Text) {
  return {Text.c_str(), Text.size()};
}

using wire_services =
    flatbuffers::Vector<flatbuffers::Offset<wire::ServiceDemand>>;

flatbuffers::Offset<wire_services>
encode(FlatBufferBuilder &Builder,
       const std::optional<std::vector<service_demand>> &Services) {
  if (!Services)
    return 0;
  std::vector<flatbuffers::Offset<wire::ServiceDemand>> Demands;
  for (const service_demand &Each : *Services) {
    const auto Name = Builder.CreateString(Each.Service.str());
    Demands.push_back(wire::CreateServiceDemand(
        Builder, Name, static_cast<float>(Each.Requests)));
  }
  return Builder.CreateVector(Demands);
}

std::optional<std::vector<service_demand>>
decodeServices(const wire_services *Wire) {
  if (!Wire)
    return std::nullopt;
  std::vector<service_demand> Services;
  for (const wire::ServiceDemand *Each : *Wire)
    Services.push_back({.Service = service_name(textOf(*Each->service())),
                        .Requests = Each->requests()});
  return Services;
}

flatbuffers::Offset<wire::HostReport> encode(FlatBufferBuilder &Builder,
                                             const host_report &Report) {
  std::vector<flatbuffers::Offset<wire::AccountDemand>> Demands;
  for (const account_demand &Each : Report.Demands) {
    const auto Name = Builder.CreateString(Each.Account.str());
    Demands.push_back(wire::CreateAccountDemand(
        Builder, Name, static_cast<float>(Each.PerSecond)));
  }
  const auto List = Demands.empty() ? 0 : Builder.CreateVector(Demands);
  const auto Services = encode(Builder, Report.Services);
  return wire::CreateHostReport(Builder, Report.Ready, Report.Leaving,
                                static_cast<float>(Report.RequestsPerSecond),
                                List, Report.View, Services);
}

flatbuffers::Offset<wire::DataCenterReport>
encode(FlatBufferBuilder &Builder, const data_center_report &Report) {
  std::vector<flatbuffers::Offset<flatbuffers::String>> Hosts;
  for (const vm_name &Each : Report.Hosts)
    Hosts.push_back(Builder.CreateString(Each.str()));
  std::vector<flatbuffers::Offset<wire::AccountWeight>> Weights;
  for (const account_weight &Each : Report.Weights) {
    const auto Name = Builder.CreateString(Each.Account.str());
    Weights.push_back(wire::CreateAccountWeight(
        Builder, Name, static_cast<float>(Each.Weight)));
  }
  const auto Name = Builder.CreateString(Report.DataCenter.str());
  const auto HostList = Builder.CreateVector(Hosts);
  const auto WeightList = Builder.CreateVector(Weights);
  return wire::CreateDataCenterReport(Builder, Name, HostList, WeightList,
                                      Report.View,
                                      encode(Builder, Report.Services));
}

flatbuffers::Offset<wire::EvidenceBatch> encode(FlatBufferBuilder &Builder,
                                                const evidence_batch &Batch) {
  std::vector<flatbuffers::Offset<wire::TargetEvidence>> Evidence;
  for (const attempt_tally &Each : Batch.Evidence) {
    const auto Name = Builder.CreateString(Each.Target.str());
    Evidence.push_back(wire::CreateTargetEvidence(
        Builder, Name, static_cast<std::uint8_t>(Each.End),
        static_cast<std::uint16_t>(Each.Count), Each.IsLeaving,
        Each.StartedAt));
  }
  return wire::CreateEvidenceBatch(Builder, Builder.CreateVector(Evidence));
}

flatbuffers::Offset<wire::RateWanted> encode(FlatBufferBuilder &Builder,
                                             const reserve_request &Request) {
  const auto Name = Builder.CreateString(Request.Account.str());
  return wire::CreateRateWanted(Builder, Name, Request.Requests);
}

flatbuffers::Offset<wire::RateGiven> encode(FlatBufferBuilder &Builder,
                                            const reserve_grant &Grant) {
  const auto Name = Builder.CreateString(Grant.Account.str());
  return wire::CreateRateGiven(Builder, Name, Grant.Requests);
}

host_report decodeReport(const wire::HostReport &Wire) {
  host_report Report{.Ready = Wire.ready(),
                     .Leaving = Wire.leaving(),
                     .RequestsPerSecond = Wire.requests_per_second(),
                     .View = Wire.view(),
                     .Services = decodeServices(Wire.services())};
  if (const auto *Demands = Wire.demands())
    for (const wire::AccountDemand *Each : *Demands)
      Report.Demands.push_back(
          {.Account = account_name(textOf(*Each->account())),
           .PerSecond = Each->per_second()});
  return Report;
}

data_center_report decodeReport(const wire::DataCenterReport &Wire) {
  data_center_report Report{.DataCenter =
                                data_center_name(textOf(*Wire.data_center())),
                            .View = Wire.view(),
                            .Services = decodeServices(Wire.services())};
  if (const auto *Hosts = Wire.hosts())
    for (const flatbuffers::String *Each : *Hosts)
      Report.Hosts.emplace_back(textOf(*Each));
  if (const auto *Weights = Wire.weights())
    for (const wire::AccountWeight *Each : *Weights)
      Report.Weights.push_back(
          {.Account = account_name(textOf(*Each->account())),
           .Weight = Each->weight()});
  return Report;
}

evidence_batch decodeEvidence(const wire::EvidenceBatch &Wire) {
  constexpr auto LastEnd = static_cast<std::uint8_t>(attempt_end::Cancelled);
  evidence_batch Batch;
  if (const auto *Evidence = Wire.evidence())
    for (const wire::TargetEvidence *Each : *Evidence)
      Batch.Evidence.push_back(
          {.Target = target_name(textOf(*Each->target())),
           .End = static_cast<attempt_end>(std::min(Each->end(), LastEnd)),
           .Count = Each->count(),
           .IsLeaving = Each->leaving(),
           .StartedAt = Each->started_at()});
  return Batch;
}

} // namespace

std::vector<std::byte> encodeHostMessage(const host_message &Message) {
  FlatBufferBuilder Builder;
  const auto [Type, Body] = std::visit(
      overloaded{[&](const host_report &Report) {
                   return std::pair(wire::HostBody_HostReport,
                                    encode(Builder, Report).Union());
                 },
                 [&](const data_center_report &Report) {
                   return std::pair(wire::HostBody_DataCenterReport,
                                    encode(Builder, Report).Union());
                 },
                 [&](const evidence_batch &Batch) {
                   return std::pair(wire::HostBody_EvidenceBatch,
                                    encode(Builder, Batch).Union());
                 },
                 [&](const reserve_request &Request) {
                   return std::pair(wire::HostBody_RateWanted,
                                    encode(Builder, Request).Union());
                 },
                 [&](const reserve_grant &Grant) {
                   return std::pair(wire::HostBody_RateGiven,
                                    encode(Builder, Grant).Union());
                 }},
      Message);
  Builder.Finish(wire::CreateHostMessage(Builder, Type, Body));
  const auto *Begin =
      reinterpret_cast<const std::byte *>(Builder.GetBufferPointer());
  return {Begin, Begin + Builder.GetSize()};
}

result<host_message> decodeHostMessage(std::span<const std::byte> Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (wire::VerifyHostMessageBuffer(Verifier)) {
    const wire::HostMessage &Wire = *wire::GetHostMessage(Data);
    if (const auto *Report = Wire.body_as_HostReport())
      return decodeReport(*Report);
    if (const auto *Report = Wire.body_as_DataCenterReport())
      return decodeReport(*Report);
    if (const auto *Evidence = Wire.body_as_EvidenceBatch())
      return decodeEvidence(*Evidence);
    if (const auto *Request = Wire.body_as_RateWanted())
      return reserve_request{account_name(textOf(*Request->account())),
                             Request->requests()};
    if (const auto *Grant = Wire.body_as_RateGiven())
      return reserve_grant{account_name(textOf(*Grant->account())),
                           Grant->requests()};
  }
  return fail(error_kind::Protocol, "a peer's host message is malformed",
              "run the same version of peridotport on all VMs");
}

} // namespace peridot
