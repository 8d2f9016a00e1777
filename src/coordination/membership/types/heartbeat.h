/// \file
/// Periodic message between heartbeat peers.
#pragma once

#include <chrono>
#include <cstdint>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Report of an observer that it receives no heartbeats from a VM that should
/// send them: the link from \p Subject to \p Observer is silent.
struct link_report {
  vm_name Observer;
  vm_name Subject;
  /// Increases with each report of the observer, also across its restarts.
  std::uint64_t Sequence = 0;
  /// Time since the observer made the report, so that relayed copies expire
  /// together with the original.
  std::chrono::milliseconds Age{0};

  bool operator==(const link_report &) const = default;
};

/// State of the sender and reports that it relays. The link identifies the
/// sender's incarnation.
struct heartbeat {
  bool Leaving = false; ///< Whether the sender is leaving.
  revision Revision;    ///< Configuration in force at the sender.
  std::vector<link_report> SilentLinkReports; ///< Reports of silent links.
  std::vector<vm_incarnation> LeavingVms;     ///< Other leaving VMs.

  bool operator==(const heartbeat &) const = default;
};

} // namespace peridot
