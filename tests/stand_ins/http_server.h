/// \file
/// Minimal HTTP server for the stand-ins.
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

/// Result of handling one request: the response and how it is sent.
struct handler_result {
  http_response Response;
  /// Closes the connection without sending \c Response.
  bool ShouldDropResponse = false;
  /// Sends only this many bytes of the body and closes; negative: sends all.
  std::int64_t TruncateAt = -1;
};

using http_handler = std::function<task<handler_result>(const http_request &)>;

/// Listens on 127.0.0.1 and serves keep-alive connections until \p Loop stops.
/// Prints `{"event":"listening","port":N}` on standard error.
void serveHttp(boost::asio::io_context &Loop, std::uint16_t Port,
               http_handler Handler);

/// Returns the decoded value of \p Name in the query of \p Target, or \p
/// Default. A parameter that cannot be decoded is left out.
std::string queryValue(std::string_view Target, std::string_view Name,
                       std::string_view Default);

/// Whether all parameters in the query of \p Target can be decoded.
bool isQueryDecodable(std::string_view Target);

/// Returns the path of \p Target without its query, still encoded.
std::string_view pathOf(std::string_view Target);

/// Decodes one segment of a path; returns it as it is if that is not possible.
std::string decodeSegment(std::string_view Segment);

/// Returns a response with the given status and body.
http_response textResponse(unsigned Status, std::string Body);

} // namespace peridot::stand_in
