/// \file
/// The time base of all decisions.
#pragma once

#include <chrono>

namespace peridot {

/// Clock of the VM since its boot, counting time spent suspended.
/// It is a tag: only the transport layer reads the real clock.
struct boot_clock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
};

/// A moment on the boot clock of one VM; never compared between VMs.
using instant = boot_clock::time_point;
using duration = boot_clock::duration;

} // namespace peridot
