/// \file
/// Notices that the process stood still.
#pragma once

#include "transport/runtime/timer_service.h"

namespace peridot {

/// Logs each time in which the control thread did not run: the VM was frozen or
/// had no processor, so that requests on it were late without other cause.
class stall_watch {
public:
  explicit stall_watch(timer_service &Timers);

private:
  void look(instant Now);

  instant LastLook;
  timer_subscription Timer;
};

} // namespace peridot
