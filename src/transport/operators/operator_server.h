/// \file
/// HTTP server for short requests outside of the callers' ports. Serves the
/// operator port and, with an adapter, the directory and readiness ports.
#pragma once

#include <functional>
#include <string>

#include "state/base/types/error.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// HTTP request of an operator or of `peridotctl`.
struct operator_request {
  std::string Method;
  std::string Path; ///< Including the query string.
  std::string Body;
};

/// HTTP response to an operator_request.
struct operator_response {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Accepts connections and calls the handler once per request, on the event
/// loop that it was created with. Closes each connection after its response.
class operator_server {
public:
  using handler = std::function<operator_response(const operator_request &)>;

  operator_server(boost::asio::io_context &Loop,
                  boost::asio::ip::tcp::endpoint ListenEndpoint,
                  handler Handler);

  /// Opens the listening socket and returns its port.
  result<std::uint16_t> listen();
  /// Starts to accept connections; call after listen().
  void start();

private:
  task<void> acceptConnections();
  task<void> serve(tcp_stream Stream);

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::endpoint Endpoint;
  handler Handler;
  tcp_acceptor Acceptor;
};

} // namespace peridot
