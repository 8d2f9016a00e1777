/// \file
/// What neighbours tell each other periodically.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// An observer states that it does not hear a VM that should send to it: the
/// link from \p Subject to \p Observer carries nothing.
struct link_report {
  vm_name Observer;
  vm_name Subject;
  /// Grows with each statement of the observer, over its restarts too.
  std::uint64_t Sequence = 0;
  /// Time since the observer stated this, so that copies that still travel
  /// expire with the original.
  std::chrono::milliseconds Age{0};

  bool operator==(const link_report &) const = default;
};

/// The sender's incarnation is known from the link.
struct heartbeat {
  bool Leaving = false;
  revision Revision; ///< Configuration in force at the sender.
  std::vector<link_report> Unheard;
  std::vector<vm_incarnation> LeavingVms;

  bool operator==(const heartbeat &) const = default;
};

} // namespace peridot
