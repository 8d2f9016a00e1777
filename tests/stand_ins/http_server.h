/// \file
/// Minimal HTTP server that the stand-ins share.
#pragma once

#include <functional>
#include <string>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "transport/runtime/asio_types.h"

namespace peridot::stand_in {

using http_request =
    boost::beast::http::request<boost::beast::http::string_body>;
using http_response =
    boost::beast::http::response<boost::beast::http::string_body>;

/// What a handler does with one request.
struct handled {
  http_response Response;
  /// Close without sending \c Response.
  bool DropAnswer = false;
  /// Send only this many bytes of the body, then close; negative: all.
  std::int64_t TruncateAt = -1;
};

using http_handler = std::function<task<handled>(const http_request &)>;

/// Listens on 127.0.0.1 and serves keep-alive connections for ever.
/// Prints `{"event":"listening","port":N}` on standard error.
void serveHttp(boost::asio::io_context &Loop, std::uint16_t Port,
               http_handler Handler);

/// Value of \p Name in the query of \p Target, or \p Default.
std::string queryValue(std::string_view Target, std::string_view Name,
                       std::string_view Default);

/// Path of \p Target without its query.
std::string_view pathOf(std::string_view Target);

/// Text response with a status.
http_response textResponse(unsigned Status, std::string Body);

} // namespace peridot::stand_in
