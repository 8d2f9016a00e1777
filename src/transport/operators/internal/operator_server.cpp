#include "transport/operators/operator_server.h"
#include "transport/runtime/listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace peridot {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t MaxRequestBodyBytes = 64U << 10U;
/// Timeout of a connection from accept to response.
constexpr std::chrono::seconds ConnectionTimeout{30};

} // namespace

operator_server::operator_server(asio::io_context &Loop,
                                 asio::ip::tcp::endpoint ListenEndpoint,
                                 handler RequestHandler)
    : Loop(Loop), Endpoint(std::move(ListenEndpoint)),
      Handler(std::move(RequestHandler)), Acceptor(Loop) {}

result<std::uint16_t> operator_server::listen() {
  return openListener(Acceptor, {.Endpoint = Endpoint,
                                 .Purpose = "the operator port",
                                 .PortFlag = "operator_port"});
}

void operator_server::start() {
  asio::co_spawn(Loop, acceptConnections(), asio::detached);
}

task<void> operator_server::acceptConnections() {
  while (Acceptor.is_open()) {
    auto Socket = co_await acceptConnection(Acceptor);
    if (Socket)
      asio::co_spawn(Loop, serve(tcp_stream(std::move(*Socket))),
                     asio::detached);
  }
}

task<void> operator_server::serve(tcp_stream Stream) {
  Stream.expires_after(ConnectionTimeout);
  beast::flat_buffer Buffer;
  http::request_parser<http::string_body> Parser;
  Parser.body_limit(MaxRequestBodyBytes);
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Parser, UseTaskTuple);
  if (ReadError)
    co_return;
  const auto &Request = Parser.get();
  operator_response Response =
      Handler({.Method = std::string(Request.method_string()),
               .Path = std::string(Request.target()),
               .Body = Request.body()});
  http::response<http::string_body> HttpResponse(
      static_cast<http::status>(Response.Status), 11, std::move(Response.Body));
  HttpResponse.set(http::field::content_type, Response.ContentType);
  HttpResponse.keep_alive(false);
  HttpResponse.prepare_payload();
  co_await http::async_write(Stream, HttpResponse, UseTaskTuple);
  boost::system::error_code Ignored;
  Stream.socket().shutdown(tcp_socket::shutdown_send, Ignored);
}

} // namespace peridot
