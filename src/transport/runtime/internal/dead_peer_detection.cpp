#include "transport/runtime/dead_peer_detection.h"

#include <netinet/tcp.h>

namespace peridot {

namespace {

template <int Name>
using tcp_option =
    boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

} // namespace

void enableDeadPeerDetection(tcp_socket &Socket,
                             const dead_peer_limits &Limits) {
  // Without an option, the timeouts of the caller still apply.
  boost::system::error_code Ignored;
  Socket.set_option(tcp_option<TCP_USER_TIMEOUT>(Limits.Unacknowledged.count()),
                    Ignored);
  if (Limits.ProbeInterval.count() == 0)
    return;
  const int Interval = Limits.ProbeInterval.count();
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
  Socket.set_option(tcp_option<TCP_KEEPIDLE>(Interval), Ignored);
  Socket.set_option(tcp_option<TCP_KEEPINTVL>(Interval), Ignored);
  Socket.set_option(tcp_option<TCP_KEEPCNT>(Limits.Probes), Ignored);
}

} // namespace peridot
