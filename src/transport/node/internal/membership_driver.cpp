#include "transport/node/internal/membership_driver.h"

#include <algorithm>

#include "protocol/membership_messages/heartbeat_codec.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::seconds HeartbeatPeriod{1};
/// A leave is told within this time, not with the next heartbeat.
constexpr std::chrono::milliseconds LeaveCheckPeriod{50};

std::string joined(std::span<const vm_name> Names) {
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
  Beat = Context.Timers.every(HeartbeatPeriod, [this](instant) { beat(); });
  LeaveCheck = Context.Timers.every(LeaveCheckPeriod, [this](instant) {
    if (!Context.Snapshots.current().Leaving || LeaveIsKnown)
      return;
    LeaveIsKnown = true;
    beat();
  });
}

void membership_driver::listed(std::span<const listed_vm> Vms) {
  Listed.assign(Vms.begin(), Vms.end());
  std::vector<member> Members;
  for (const listed_vm &Vm : Vms)
    Members.push_back({.Vm = Vm.Name,
                       .DataCenter = Vm.DataCenter,
                       .Leaving = Vm.State == vm_list_state::Leaving});
  dispatch(vms_listed{Members});
}

void membership_driver::beat() {
  const routing_snapshot &Snapshot = Context.Snapshots.current();
  heartbeat_due Due{.Leaving = Snapshot.Leaving};
  if (Snapshot.Configuration)
    Due.Revision = Snapshot.Configuration->configuration().Revision;
  dispatch(Due);
}

void membership_driver::receive(const peer_hello &Sender, bytes_view Body) {
  auto Heartbeat = decodeHeartbeat(Body);
  if (!Heartbeat) {
    Context.Metrics.counterOf("peridot_peer_refused_total").add();
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
       .Cause = "several observers do not hear it",
       .Evidence = "observers: " + joined(Effect.Observers),
       .Rule = "silence suspects a VM when observers "
               "agree; only the platform's list or a "
               "later incarnation makes it gone"});
}

void membership_driver::perform(const vm_trusted &Effect) {
  Context.Decisions.record({.Kind = decision_kind::VmTrusted,
                            .Subject = subject_kind::Vm,
                            .Name = Effect.Vm.str(),
                            .Cause = "too few observers still miss it",
                            .Rule = "statements of observers expire unless "
                                    "they are renewed"});
}

void membership_driver::refreshView() {
  membership_view View = Machine.view();
  if (View == Context.Members)
    return;
  Context.Members = std::move(View);
  std::vector<vm_address> Callable = callableVms();
  if (Callable == Context.Snapshots.current().Vms)
    return;
  Context.Snapshots.update(
      [&](routing_snapshot &Snapshot) { Snapshot.Vms = std::move(Callable); });
}

std::vector<vm_address> membership_driver::callableVms() const {
  std::vector<vm_address> Callable;
  // Members are in the order of the list.
  for (std::size_t Index = 0; Index < Listed.size(); ++Index) {
    const listed_vm &Vm = Listed[Index];
    const member &Member = Context.Members.Members[Index];
    if (!Member.Leaving)
      Callable.push_back({.Vm = Vm.Name,
                          .DataCenter = Vm.DataCenter,
                          .Address = Vm.Address,
                          .Port = Vm.CallerPort,
                          .Suspected = Member.Suspected});
  }
  return Callable;
}

} // namespace peridot
