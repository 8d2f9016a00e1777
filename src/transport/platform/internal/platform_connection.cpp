#include "transport/platform/platform_connection.h"

#include <algorithm>

#include <boost/beast/http.hpp>

#include "transport/runtime/dead_peer_detection.h"

namespace peridot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// A page of a list has about 1 MB, or one object of that size more; a control
/// character takes six bytes in JSON.
constexpr std::uint64_t MaxResponseBytes = 16U << 20U;
/// Maximum time to open a connection. TCP resends a lost SYN only after a
/// second, so a new attempt is faster.
constexpr std::chrono::milliseconds ConnectTimeout{600};
/// A watch is idle while nothing changes, so probes have to show that its
/// connection still works.
constexpr dead_peer_limits DeadPeerLimits{
    .Unacknowledged = std::chrono::seconds(3),
    .ProbeInterval = std::chrono::seconds(1),
    .Probes = 2};

tl::unexpected<error> callFailure(std::string_view Step,
                                  const boost::system::error_code &Error) {
  const bool TimedOut = Error == beast::error::timeout;
  return fail(TimedOut ? error_kind::Timeout : error_kind::Unavailable,
              "call to the platform failed while " + std::string(Step) + ": " +
                  Error.message(),
              "check that the platform's service is up; the call may be "
              "repeated");
}

} // namespace

platform_request makePlatformRequest(http::verb Verb,
                                     const request_target &Target,
                                     bool KeepOpen) {
  platform_request Request(Verb, Target.text(), 11);
  Request.set(http::field::host, "platform");
  Request.keep_alive(KeepOpen);
  return Request;
}

tl::unexpected<error> unexpectedResponse(const platform_response &Response) {
  const bool IsRejected = http::to_status_class(Response.result()) ==
                              http::status_class::client_error &&
                          Response.result() != http::status::request_timeout &&
                          Response.result() != http::status::too_many_requests;
  if (IsRejected)
    return fail(error_kind::Protocol,
                "the platform rejected a call with status " +
                    std::to_string(Response.result_int()),
                "check that the configured address is that of the platform's "
                "service");
  return fail(error_kind::Unavailable,
              "the platform responded with unexpected status " +
                  std::to_string(Response.result_int()),
              "check that the platform's service is up");
}

task<result<void>>
platform_connection::connect(std::chrono::milliseconds Timeout) {
  Buffer.clear();
  Stream.emplace(Loop.get_executor());
  Stream->expires_after(std::min(Timeout, ConnectTimeout));
  auto [Error] = co_await Stream->async_connect(Endpoint, UseTaskTuple);
  if (Error) {
    Stream.reset();
    co_return callFailure("connecting", Error);
  }
  boost::system::error_code Ignored; // Only delays the first bytes.
  Stream->socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  enableDeadPeerDetection(Stream->socket(), DeadPeerLimits);
  co_return result<void>{};
}

task<result<platform_response>>
platform_connection::exchange(const platform_request &Request) {
  auto [WriteError, Written] =
      co_await http::async_write(*Stream, Request, UseTaskTuple);
  if (WriteError)
    co_return callFailure("sending", WriteError);
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(MaxResponseBytes);
  auto [ReadError, Read] =
      co_await http::async_read(*Stream, Buffer, Parser, UseTaskTuple);
  if (ReadError)
    co_return callFailure("reading", ReadError);
  co_return Parser.release();
}

task<result<platform_response>>
platform_connection::call(platform_request Request,
                          std::chrono::milliseconds Timeout) {
  if (IsBusy) {
    platform_connection Other(Loop, Endpoint);
    co_return co_await Other.callOnConnection(std::move(Request), Timeout);
  }
  IsBusy = true;
  auto Response = co_await callOnConnection(std::move(Request), Timeout);
  IsBusy = false;
  co_return Response;
}

task<result<platform_response>>
platform_connection::callOnConnection(platform_request Request,
                                      std::chrono::milliseconds Timeout) {
  const bool Reused = Stream.has_value();
  if (!Reused)
    if (const auto Connected = co_await connect(Timeout); !Connected)
      co_return tl::unexpected(Connected.error());
  Stream->expires_after(Timeout);
  auto Response = co_await exchange(Request);
  // The service may have closed the idle connection; a GET can be repeated
  // safely.
  if (!Response && Reused && Request.method() == http::verb::get &&
      Response.error().Kind != error_kind::Timeout) {
    if (const auto Connected = co_await connect(Timeout); !Connected)
      co_return tl::unexpected(Connected.error());
    Stream->expires_after(Timeout);
    Response = co_await exchange(Request);
  }
  if (!Response || !Response->keep_alive() || !Request.keep_alive())
    Stream.reset();
  co_return Response;
}

} // namespace peridot
