/// \file
/// Polls the platform's list of VMs and passes it to peer links and membership.
#pragma once

#include "transport/node/internal/membership_driver.h"

namespace peridot {

/// Runs on the control thread.
class vm_list_driver {
public:
  vm_list_driver(control_context &Context, membership_driver &Membership)
      : Context(Context), Membership(Membership) {}

  void start();
  const std::vector<listed_vm> &vms() const { return Vms; }

private:
  task<void> poll();
  void apply(std::vector<listed_vm> Listed);

  control_context &Context;
  membership_driver &Membership;
  std::vector<listed_vm> Vms;
};

} // namespace peridot
