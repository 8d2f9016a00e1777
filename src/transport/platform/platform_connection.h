/// \file
/// One persistent connection to the platform's HTTP service.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <optional>

#include "protocol/http/request_target.h"
#include "state/base/types/error.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

using platform_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using platform_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// Returns a request without a body. The connection closes after the response
/// unless \p KeepOpen.
platform_request makePlatformRequest(boost::beast::http::verb Verb,
                                     const request_target &Target,
                                     bool KeepOpen);

/// Returns the error for a response with an unexpected status: Protocol if the
/// platform rejects the call itself, otherwise Unavailable.
tl::unexpected<error> unexpectedResponse(const platform_response &Response);

/// Connects on demand and reuses the connection if both sides allow it. A call
/// made while another one runs uses a separate connection.
class platform_connection {
public:
  platform_connection(boost::asio::io_context &Loop,
                      boost::asio::ip::tcp::endpoint Endpoint)
      : Loop(Loop), Endpoint(std::move(Endpoint)) {}

  /// After a Timeout or Unavailable error the call may still have taken effect.
  task<result<platform_response>> call(platform_request Request,
                                       std::chrono::milliseconds Timeout);

private:
  task<result<platform_response>>
  callOnConnection(platform_request Request, std::chrono::milliseconds Timeout);
  task<result<void>> connect(std::chrono::milliseconds Timeout);
  task<result<platform_response>> exchange(const platform_request &Request);

  boost::asio::io_context &Loop;
  boost::asio::ip::tcp::endpoint Endpoint;
  std::optional<tcp_stream> Stream; ///< Empty while not connected.
  boost::beast::flat_buffer Buffer;
  bool IsBusy = false;
};

} // namespace peridot
