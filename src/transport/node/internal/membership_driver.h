/// \file
/// Connects the membership machine to peers, the routing snapshot and the
/// membership view.
#pragma once

#include <span>

#include "coordination/membership/membership_machine.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread. Updates the membership view and the snapshot's
/// list of VMs.
class membership_driver {
public:
  explicit membership_driver(control_context &Context);

  void start();
  /// Replaces the platform's list of VMs.
  void setListedVms(std::span<const listed_vm> Vms);

private:
  void sendHeartbeats();
  void receive(const peer_hello &Sender, bytes_view Body);
  void dispatch(const membership_event &Event);

  void perform(const send_heartbeat &Effect);
  void perform(const vm_suspected &Effect);
  void perform(const vm_trusted &Effect);

  void refreshView();
  /// Returns the listed VMs that are not leaving, in the order of the list.
  std::vector<vm_address> callerAddresses() const;

  control_context &Context;
  membership_machine Machine;
  std::vector<listed_vm> Listed;
  timer_subscription HeartbeatTimer;
  timer_subscription LeaveCheckTimer;
  bool HasAnnouncedLeave = false;
};

} // namespace peridot
