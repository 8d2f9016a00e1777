#include "protocol/membership_messages/heartbeat_codec.h"

#include <heartbeat_generated.h>

namespace peridot {

namespace {

using flatbuffers::FlatBufferBuilder;

vm_name nameFrom(const flatbuffers::String *Text) {
  return vm_name(std::string_view(Text->c_str(), Text->size()));
}

flatbuffers::Offset<wire::LinkReport> encodeReport(FlatBufferBuilder &Builder,
                                                   const link_report &Report) {
  const auto Observer = Builder.CreateSharedString(Report.Observer.str());
  const auto Subject = Builder.CreateSharedString(Report.Subject.str());
  return wire::CreateLinkReport(Builder, Observer, Subject, Report.Sequence,
                                static_cast<std::uint32_t>(Report.Age.count()));
}

flatbuffers::Offset<wire::LeavingVm> encodeLeaving(FlatBufferBuilder &Builder,
                                                   const vm_incarnation &Vm) {
  const auto Name = Builder.CreateString(Vm.Vm.str());
  return wire::CreateLeavingVm(Builder, Name, Vm.Incarnation.Value);
}

/// Encodes a vector; omits an empty one, which saves bytes.
template <typename Wire, typename Item, typename Encode>
flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<Wire>>>
encodeList(FlatBufferBuilder &Builder, std::span<const Item> Items,
           Encode EncodeItem) {
  if (Items.empty())
    return 0;
  std::vector<flatbuffers::Offset<Wire>> Offsets;
  Offsets.reserve(Items.size());
  for (const Item &Each : Items)
    Offsets.push_back(EncodeItem(Builder, Each));
  return Builder.CreateVector(Offsets);
}

} // namespace

std::vector<std::byte> encodeHeartbeat(const heartbeat &Heartbeat) {
  FlatBufferBuilder Builder;
  const auto SilentLinkReports = encodeList<wire::LinkReport>(
      Builder, std::span(Heartbeat.SilentLinkReports), encodeReport);
  const auto Leaving = encodeList<wire::LeavingVm>(
      Builder, std::span(Heartbeat.LeavingVms), encodeLeaving);
  Builder.Finish(wire::CreateHeartbeat(Builder, Heartbeat.Leaving,
                                       Heartbeat.Revision.Value,
                                       SilentLinkReports, Leaving));
  const auto *Begin =
      reinterpret_cast<const std::byte *>(Builder.GetBufferPointer());
  return {Begin, Begin + Builder.GetSize()};
}

result<heartbeat> decodeHeartbeat(std::span<const std::byte> Bytes) {
  const auto *Data = reinterpret_cast<const std::uint8_t *>(Bytes.data());
  flatbuffers::Verifier Verifier(Data, Bytes.size());
  if (!wire::VerifyHeartbeatBuffer(Verifier))
    return fail(error_kind::Protocol, "a peer's heartbeat is malformed",
                "run the same version of peridotport on all VMs");
  const wire::Heartbeat &Wire = *wire::GetHeartbeat(Data);
  heartbeat Heartbeat{.Leaving = Wire.leaving(), .Revision = {Wire.revision()}};
  if (const auto *Reports = Wire.unheard())
    for (const wire::LinkReport *Report : *Reports)
      Heartbeat.SilentLinkReports.push_back(
          {.Observer = nameFrom(Report->observer()),
           .Subject = nameFrom(Report->subject()),
           .Sequence = Report->sequence(),
           .Age = std::chrono::milliseconds(Report->age_ms())});
  if (const auto *Vms = Wire.leaving_vms())
    for (const wire::LeavingVm *Vm : *Vms)
      Heartbeat.LeavingVms.push_back({nameFrom(Vm->vm()), {Vm->incarnation()}});
  return Heartbeat;
}

} // namespace peridot
