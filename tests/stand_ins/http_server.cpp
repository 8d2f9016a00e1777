#include "stand_ins/http_server.h"

#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace peridot::stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

task<bool> sendTruncated(tcp_stream &Stream, const handler_result &Result) {
  http_response Head = Result.Response;
  Head.prepare_payload();
  std::ostringstream Whole;
  Whole << Head.base();
  const std::string Text =
      Whole.str() + Head.body().substr(0, Result.TruncateAt);
  co_await asio::async_write(Stream, asio::buffer(Text), UseTaskTuple);
  co_return false;
}

task<bool> serveRequest(tcp_stream &Stream, boost::beast::flat_buffer &Buffer,
                        http_handler &Handler) {
  http::request_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Parser, UseTaskTuple);
  if (ReadError)
    co_return false;
  handler_result Result = co_await Handler(Parser.get());
  if (Result.ShouldDropResponse)
    co_return false;
  if (Result.TruncateAt >= 0)
    co_return co_await sendTruncated(Stream, Result);
  Result.Response.keep_alive(Parser.get().keep_alive() &&
                             Result.Response.keep_alive());
  Result.Response.prepare_payload();
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Result.Response, UseTaskTuple);
  co_return !WriteError && Result.Response.keep_alive();
}

task<void> serveConnection(tcp_stream Stream, http_handler Handler) {
  boost::beast::flat_buffer Buffer;
  while (co_await serveRequest(Stream, Buffer, Handler)) {
  }
}

task<void> acceptAll(asio::io_context &Loop, tcp_acceptor Acceptor,
                     http_handler Handler) {
  while (true) {
    auto [Error, Socket] = co_await Acceptor.async_accept(UseTaskTuple);
    if (Error)
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true), Error);
    asio::co_spawn(Loop,
                   serveConnection(tcp_stream(std::move(Socket)), Handler),
                   asio::detached);
  }
}

} // namespace

void serveHttp(asio::io_context &Loop, std::uint16_t Port,
               http_handler Handler) {
  tcp_acceptor Acceptor(
      Loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), Port));
  std::cerr << R"({"event":"listening","port":)"
            << Acceptor.local_endpoint().port() << "}" << std::endl;
  asio::co_spawn(Loop, acceptAll(Loop, std::move(Acceptor), std::move(Handler)),
                 asio::detached);
}

std::string queryValue(std::string_view Target, std::string_view Name,
                       std::string_view Default) {
  std::size_t Start = Target.find('?');
  while (Start != std::string_view::npos) {
    const std::string_view Rest = Target.substr(Start + 1);
    const std::string_view Pair = Rest.substr(0, Rest.find('&'));
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name && Equals != std::string_view::npos)
      return std::string(Pair.substr(Equals + 1));
    Start = Target.find('&', Start + 1);
  }
  return std::string(Default);
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

http_response textResponse(unsigned Status, std::string Body) {
  http_response Response(static_cast<http::status>(Status), 11);
  Response.body() = std::move(Body);
  return Response;
}

} // namespace peridot::stand_in
