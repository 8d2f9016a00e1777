/// \file
/// Detects times in which the process did not run.
#pragma once

#include "transport/runtime/timer_service.h"

namespace peridot {

/// Logs each stall of the control thread, during which the VM was paused or had
/// no processor time. It explains why requests on this VM were slow.
class stall_detector {
public:
  explicit stall_detector(timer_service &Timers);

private:
  void check(instant Now);

  instant LastCheck;
  timer_subscription Timer;
};

} // namespace peridot
