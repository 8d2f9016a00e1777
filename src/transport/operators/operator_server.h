/// \file
/// Small HTTP server for operators, on a port of its own.
#pragma once

#include <functional>
#include <string>

#include "state/base/types/error.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// A request of an operator or of `peridotctl`.
struct operator_request {
  std::string Method;
  std::string Path; ///< With the query.
  std::string Body;
};

struct operator_response {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
};

/// Answers each request with one call of the handler, on its event loop.
class operator_server {
public:
  using handler = std::function<operator_response(const operator_request &)>;

  operator_server(boost::asio::io_context &Loop,
                  boost::asio::ip::tcp::endpoint Listen, handler Handler);

  /// Binds the port and returns it.
  result<std::uint16_t> listen();
  void start();

private:
  task<void> acceptOperators();
  task<void> serve(tcp_stream Stream);

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::endpoint Endpoint;
  handler Handler;
  tcp_acceptor Acceptor;
};

} // namespace peridot
