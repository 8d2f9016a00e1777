/// \file
/// Makes the kernel close connections whose peer no longer responds.
#pragma once

#include <chrono>

#include "transport/runtime/asio_types.h"

namespace peridot {

/// How soon the kernel gives a connection up.
struct dead_peer_limits {
  /// Time after which sent bytes that were not acknowledged close the
  /// connection.
  std::chrono::duration<int, std::milli> Unacknowledged{0};
  /// Idle time after which the kernel sends keep-alive probes, and the interval
  /// between them; zero: no probes.
  std::chrono::duration<int> ProbeInterval{0};
  /// Number of unanswered probes that close the connection.
  int Probes = 2;
};

/// Applies \p Limits to an open connection. Without them, a connection that the
/// network has lost track of looks the same as an idle one, and TCP resends
/// lost bytes at intervals that double up to minutes.
void enableDeadPeerDetection(tcp_socket &Socket,
                             const dead_peer_limits &Limits);

} // namespace peridot
