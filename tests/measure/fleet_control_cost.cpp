/// \file
/// Prints what membership and ownership cost one VM at several fleet sizes:
/// bytes sent per second by subject, processor time of the control thread and
/// platform writes. The state machines of all VMs run in this process on
/// simulated time, without sockets; authentication tags are counted as bytes
/// but not computed.
///
///     fleet_control_cost [SIZE...]

#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/membership/membership_machine.h"
#include "coordination/ownership/ownership_machine.h"
#include "protocol/membership_messages/heartbeat_codec.h"
#include "protocol/ownership_messages/lease_codec.h"
#include "protocol/ownership_messages/shard_map_document.h"
#include "protocol/peer_frames/frame_codec.h"
#include "protocol/platform_documents/platform_documents.h"
#include "state/base/types/overloaded.h"

namespace peridot::measure {

namespace {

using namespace std::chrono_literals;

constexpr int TicksPerSecond = 4; ///< Same as in the ownership driver.
constexpr int SettleSeconds = 60;
constexpr int MeasuredSeconds = 30;
constexpr int DataCenterCount = 5;

double processorSeconds() {
  timespec Time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) * 1e-9;
}

struct traffic_count {
  std::uint64_t HeartbeatBytes = 0;
  std::uint64_t LeaseBytes = 0;
};

/// The membership and ownership state machines of one VM.
struct measured_vm {
  vm_incarnation Id;
  membership_machine Membership;
  ownership_machine Ownership;
  traffic_count Sent;
};

class measured_fleet {
public:
  explicit measured_fleet(std::size_t Size);

  void runSecond();
  void resetCounts();
  traffic_count totals() const;
  std::uint64_t writes() const { return Version; }
  std::size_t mapBytes() const { return encodeShardMap(Stored).size(); }
  std::size_t listBytes() const;

private:
  void perform(measured_vm &From, const membership_machine::effects &Effects);
  void perform(measured_vm &From, const ownership_machine::effects &Effects);
  void write(measured_vm &From, const write_shard_map &Write);
  void tickOwnership(bool HasNewMap);

  std::vector<member> Members;
  std::vector<std::unique_ptr<measured_vm>> Vms;
  std::unordered_map<vm_name, measured_vm *> ByName;
  instant Now{1h};
  std::uint64_t Version = 0;
  std::uint64_t DeliveredVersion = 0;
  shard_map Stored;
};

measured_fleet::measured_fleet(std::size_t Size) {
  for (std::size_t Index = 0; Index < Size; ++Index)
    Members.push_back({.Vm = vm_name("entry-vm-" + std::to_string(Index)),
                       .DataCenter = data_center_name(
                           "lakes-" + std::to_string(Index % DataCenterCount)),
                       .Incarnation = {}});
  for (const member &Member : Members) {
    const vm_incarnation Id{Member.Vm,
                            {1'764'000'000'000'000'000 + Vms.size()}};
    Vms.push_back(std::make_unique<measured_vm>(measured_vm{
        .Id = Id,
        .Membership =
            membership_machine({.Self = Id, .DataCenter = Member.DataCenter}),
        .Ownership = ownership_machine({.Self = Id, .Seed = Vms.size()})}));
    ByName[Member.Vm] = Vms.back().get();
  }
  for (const auto &Vm : Vms) {
    Vm->Membership.handle(vm_list_read{Members}, Now);
    Vm->Ownership.handle(shard_map_read{}, Now);
  }
}

void measured_fleet::perform(measured_vm &From,
                             const membership_machine::effects &Effects) {
  for (const membership_effect &Effect : Effects) {
    const auto *Send = std::get_if<send_heartbeat>(&Effect);
    if (!Send)
      continue;
    const auto Bytes = encodeHeartbeat(Send->Heartbeat);
    From.Sent.HeartbeatBytes += Bytes.size() + FrameOverheadBytes;
    measured_vm &To = *ByName.at(Send->Peer);
    perform(To, To.Membership.handle(
                    heartbeat_received{From.Id, *decodeHeartbeat(Bytes)}, Now));
    // The driver also computes the view after each event, to find changes.
    static_cast<void>(To.Membership.view());
  }
}

void measured_fleet::perform(measured_vm &From,
                             const ownership_machine::effects &Effects) {
  for (const ownership_effect &Effect : Effects)
    std::visit(
        overloaded{[&](const send_lease_message &Send) {
                     const auto Bytes = encodeLeaseMessage(Send.Message);
                     From.Sent.LeaseBytes += Bytes.size() + FrameOverheadBytes;
                     measured_vm &To = *ByName.at(Send.Peer);
                     perform(To, To.Ownership.handle(
                                     lease_message_received{
                                         From.Id, *decodeLeaseMessage(Bytes)},
                                     Now));
                   },
                   [&](const read_shard_map &) {
                     perform(From, From.Ownership.handle(
                                       shard_map_read{Version, Stored}, Now));
                   },
                   [&](const write_shard_map &Write) { write(From, Write); },
                   [](const auto &) {}},
        Effect);
}

void measured_fleet::write(measured_vm &From, const write_shard_map &Write) {
  shard_map_write_ended Ended{write_outcome::Conflict, 0};
  if (Write.ExpectedVersion == Version) {
    Stored = Write.Map;
    Ended = {write_outcome::Written, ++Version};
  }
  perform(From, From.Ownership.handle(Ended, Now));
}

void measured_fleet::tickOwnership(bool HasNewMap) {
  for (const auto &Vm : Vms) {
    if (HasNewMap)
      perform(*Vm, Vm->Ownership.handle(shard_map_read{Version, Stored}, Now));
    perform(*Vm, Vm->Ownership.handle(member_list_updated{Members}, Now));
    perform(*Vm, Vm->Ownership.handle(lease_tick{}, Now));
    static_cast<void>(Vm->Ownership.actingUntil(Now));
  }
}

void measured_fleet::runSecond() {
  for (const auto &Vm : Vms)
    perform(*Vm, Vm->Membership.handle(heartbeat_due{}, Now));
  for (int Tick = 0; Tick < TicksPerSecond; ++Tick) {
    const bool HasNewMap = DeliveredVersion != Version;
    DeliveredVersion = Version;
    tickOwnership(HasNewMap);
    Now += std::chrono::milliseconds(1'000 / TicksPerSecond);
  }
}

void measured_fleet::resetCounts() {
  for (const auto &Vm : Vms)
    Vm->Sent = {};
}

traffic_count measured_fleet::totals() const {
  traffic_count Total;
  for (const auto &Vm : Vms) {
    Total.HeartbeatBytes += Vm->Sent.HeartbeatBytes;
    Total.LeaseBytes += Vm->Sent.LeaseBytes;
  }
  return Total;
}

std::size_t measured_fleet::listBytes() const {
  std::vector<listed_vm> Rows;
  for (const member &Member : Members)
    Rows.push_back({.Name = Member.Vm,
                    .DataCenter = Member.DataCenter,
                    .Address = "10.20.30.40",
                    .CallerPort = 8080,
                    .PeerPort = 8081});
  return encodeVmList(Rows).size();
}

void measure(std::size_t Size) {
  measured_fleet Fleet(Size);
  for (int Second = 0; Second < SettleSeconds; ++Second)
    Fleet.runSecond();
  const std::uint64_t StartWrites = Fleet.writes();
  Fleet.resetCounts();
  const double Before = processorSeconds();
  for (int Second = 0; Second < MeasuredSeconds; ++Second)
    Fleet.runSecond();
  const double ProcessorSeconds = processorSeconds() - Before;
  const traffic_count Total = Fleet.totals();
  const double VmSeconds = static_cast<double>(Size) * MeasuredSeconds;
  std::printf("%5zu %12.0f %10.0f %10.3f %9llu %9llu %9zu %9zu\n", Size,
              static_cast<double>(Total.HeartbeatBytes) / VmSeconds,
              static_cast<double>(Total.LeaseBytes) / VmSeconds,
              100 * ProcessorSeconds / VmSeconds,
              static_cast<unsigned long long>(StartWrites),
              static_cast<unsigned long long>(Fleet.writes() - StartWrites),
              Fleet.mapBytes(), Fleet.listBytes());
  std::fflush(stdout);
}

} // namespace

} // namespace peridot::measure

int main(int Argc, char **Argv) {
  std::vector<std::size_t> Sizes;
  for (int Index = 1; Index < Argc; ++Index)
    Sizes.push_back(std::stoul(Argv[Index]));
  if (Sizes.empty())
    Sizes = {4, 8, 16, 32, 64, 128, 256, 640};
  std::printf("%5s %12s %10s %10s %9s %9s %9s %9s\n", "VMs", "heartbeatB/s",
              "leaseB/s", "core%", "writes", "steady", "mapB", "listB");
  for (const std::size_t Size : Sizes)
    peridot::measure::measure(Size);
}
