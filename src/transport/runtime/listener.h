/// \file
/// Listening sockets of a node.
#pragma once

#include <optional>
#include <string_view>

#include "state/base/types/error.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// Settings of one listening socket.
struct listener_options {
  boost::asio::ip::tcp::endpoint Endpoint; ///< Port 0: any free port.
  std::string_view Purpose;                ///< For the message of an error.
  std::string_view PortFlag;               ///< Flag that sets the port.
  bool SharePort = false; ///< Several threads accept on the same port.
};

/// Opens \p Acceptor and returns its port. Fails with Unavailable.
result<std::uint16_t> openListener(tcp_acceptor &Acceptor,
                                   const listener_options &Options);

/// Waits for the next connection. Empty when none could be taken; while the
/// system refuses, for want of file descriptors say, that takes a moment.
task<std::optional<tcp_socket>> acceptNext(tcp_acceptor &Acceptor);

} // namespace peridot
