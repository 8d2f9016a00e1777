#include "transport/node/internal/membership_driver.h"

#include <algorithm>

#include "protocol/membership_messages/heartbeat_codec.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::seconds HeartbeatPeriod{1};
/// Leaving is announced within this time instead of with the next heartbeat.
constexpr std::chrono::milliseconds LeaveCheckPeriod{50};

std::string joinNames(std::span<const vm_name> Names) {
  std::string Text;
  for (const vm_name &Name : Names)
    Text += (Text.empty() ? "" : ", ") + Name.str();
  return Text;
}

} // namespace

membership_driver::membership_driver(control_context &Context)
    : Context(Context), Machine({.Self = Context.Self,
                                 .DataCenter = Context.Settings.DataCenter,
                                 .Period = HeartbeatPeriod}) {}

void membership_driver::start() {
  Context.Peers.subscribe(frame_subject::Membership,
                          [this](const peer_hello &Sender, bytes_view Body) {
                            receive(Sender, Body);
                          });
  HeartbeatTimer = Context.Timers.every(HeartbeatPeriod,
                                        [this](instant) { sendHeartbeats(); });
  LeaveCheckTimer = Context.Timers.every(LeaveCheckPeriod, [this](instant) {
    if (!Context.Snapshots.current().Leaving || HasAnnouncedLeave)
      return;
    HasAnnouncedLeave = true;
    sendHeartbeats();
  });
}

void membership_driver::setListedVms(std::span<const listed_vm> Vms) {
  Listed.assign(Vms.begin(), Vms.end());
  std::vector<member> Members;
  for (const listed_vm &Vm : Vms)
    Members.push_back({.Vm = Vm.Name,
                       .DataCenter = Vm.DataCenter,
                       .Leaving = Vm.State == vm_list_state::Leaving});
  dispatch(vm_list_read{Members});
}

void membership_driver::sendHeartbeats() {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  heartbeat_due Due{.Leaving = Snapshot.Leaving};
  if (Snapshot.Configuration)
    Due.Revision = Snapshot.Configuration->configuration().Revision;
  dispatch(Due);
}

void membership_driver::receive(const peer_hello &Sender, bytes_view Body) {
  auto Heartbeat = decodeHeartbeat(Body);
  if (!Heartbeat) {
    Context.Metrics.getOrCreateCounter("peridot_peer_refused_total").add();
    logError("heartbeat-refused", Heartbeat.error());
    return;
  }
  dispatch(heartbeat_received{Sender.Sender, std::move(*Heartbeat)});
}

void membership_driver::dispatch(const membership_event &Event) {
  const auto Effects = Machine.handle(Event, Context.Timers.now());
  refreshView();
  for (const membership_effect &Effect : Effects)
    std::visit([this](const auto &E) { perform(E); }, Effect);
}

void membership_driver::perform(const send_heartbeat &Effect) {
  Context.Peers.send(Effect.Peer, frame_subject::Membership,
                     encodeHeartbeat(Effect.Heartbeat));
}

void membership_driver::perform(const vm_suspected &Effect) {
  Context.Decisions.record(
      {.Kind = decision_kind::VmSuspected,
       .Subject = subject_kind::Vm,
       .Name = Effect.Vm.str(),
       .Cause = "several observers receive no heartbeats from it",
       .Evidence = "observers: " + joinNames(Effect.Observers),
       .Rule = "a VM is suspected while several observers report it as "
               "silent; only the platform's list or a later incarnation "
               "shows that it is gone"});
}

void membership_driver::perform(const vm_trusted &Effect) {
  Context.Decisions.record(
      {.Kind = decision_kind::VmTrusted,
       .Subject = subject_kind::Vm,
       .Name = Effect.Vm.str(),
       .Cause = "too few observers still report it as silent",
       .Rule = "reports of silence expire unless they are renewed"});
}

void membership_driver::refreshView() {
  membership_view View = Machine.view();
  if (View == Context.Members)
    return;
  Context.Members = std::move(View);
  std::vector<vm_address> Addresses = callerAddresses();
  if (Addresses == Context.Snapshots.current().Vms)
    return;
  Context.Snapshots.update(
      [&](routing_snapshot &Snapshot) { Snapshot.Vms = std::move(Addresses); });
}

std::vector<vm_address> membership_driver::callerAddresses() const {
  std::vector<vm_address> Addresses;
  // Members has the same order as Listed.
  for (std::size_t Index = 0; Index < Listed.size(); ++Index) {
    const listed_vm &Vm = Listed[Index];
    const member &Member = Context.Members.Members[Index];
    if (!Member.Leaving)
      Addresses.push_back({.Vm = Vm.Name,
                           .DataCenter = Vm.DataCenter,
                           .Address = Vm.Address,
                           .Port = Vm.CallerPort,
                           .Suspected = Member.Suspected});
  }
  return Addresses;
}

} // namespace peridot
