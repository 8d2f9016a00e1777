/// \file
/// Reads the platform's list of VMs and tells links and snapshot about it.
#pragma once

#include "transport/node/control_context.h"

namespace peridot {

/// Runs on the control thread.
class vm_list_driver {
public:
  explicit vm_list_driver(control_context &Context) : Context(Context) {}

  void start();
  const std::vector<listed_vm> &vms() const { return Vms; }

private:
  task<void> poll();
  void apply(std::vector<listed_vm> Listed);

  control_context &Context;
  std::vector<listed_vm> Vms;
};

} // namespace peridot
