/// \file
/// Opens listening sockets and accepts connections.
#pragma once

#include <optional>
#include <string_view>
#include <variant>

#include "state/base/types/error.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// Settings of one listening socket.
struct listener_options {
  boost::asio::ip::tcp::endpoint Endpoint; ///< Port 0 selects any free port.
  std::string_view Purpose;                ///< Named in error messages.
  std::string_view PortFlag;               ///< Flag named in error messages.
  bool ReusePort = false; ///< SO_REUSEPORT: several sockets share the port.
};

/// Opens \p Acceptor and returns its port. Fails with Unavailable if the socket
/// cannot be opened.
result<std::uint16_t> openListener(tcp_acceptor &Acceptor,
                                   const listener_options &Options);

/// Waits for the next connection. Returns nothing if the accept failed, such as
/// for lack of file descriptors, and delays that result while \p Acceptor is
/// open.
task<std::optional<tcp_socket>> acceptConnection(tcp_acceptor &Acceptor);

/// No connection waits in the backlog.
struct backlog_empty {};
/// Connections may wait but cannot be accepted now, such as for lack of file
/// descriptors.
struct backlog_blocked {};

/// The oldest connection in a listener's backlog, or why there is none.
using backlog_entry = std::variant<tcp_socket, backlog_empty, backlog_blocked>;

/// Takes the oldest connection from the backlog of \p Acceptor without waiting.
backlog_entry takeFromBacklog(tcp_acceptor &Acceptor);

/// Lets the kernel ignore further requests to connect to \p Acceptor, while
/// handshakes that are under way complete. A listener that closes resets them
/// otherwise, although their callers may have sent requests already. Callers
/// that connect meanwhile are refused only when their system tries again, after
/// about a second.
/// \returns false if the system does not support it.
bool ignoreConnectRequests(tcp_acceptor &Acceptor);

} // namespace peridot
