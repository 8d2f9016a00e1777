/// \file
/// Clock and time types used for all decisions.
#pragma once

#include <chrono>

namespace peridot {

/// Time since the VM's boot, including time spent suspended. A tag type without
/// now(): only the transport layer reads the real clock.
struct boot_clock {
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true;
};

/// A point in time on a VM's boot clock; not comparable between VMs.
using instant = boot_clock::time_point;
using duration = boot_clock::duration;

} // namespace peridot
