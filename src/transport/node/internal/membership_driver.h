/// \file
/// Connects the membership machine to peers, snapshot and membership view.
#pragma once

#include <span>

#include "coordination/membership/membership_machine.h"
#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread; fills the membership view and the snapshot's
/// list of VMs.
class membership_driver {
public:
  explicit membership_driver(control_context &Context);

  void start();
  /// Takes a new list of the platform.
  void listed(std::span<const listed_vm> Vms);

private:
  void beat();
  void receive(const peer_hello &Sender, bytes_view Body);
  void dispatch(const membership_event &Event);

  void perform(const send_heartbeat &Effect);
  void perform(const vm_suspected &Effect);
  void perform(const vm_trusted &Effect);

  void refreshView();
  std::vector<vm_address> callableVms() const;

  control_context &Context;
  membership_machine Machine;
  std::vector<listed_vm> Listed;
  timer_subscription Beat;
  timer_subscription LeaveCheck;
  bool LeaveIsKnown = false;
};

} // namespace peridot
