#include "stand_ins/http_server.h"

#include <algorithm>
#include <iostream>
#include <optional>
#include <sstream>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/url/pct_string_view.hpp>

namespace peridot::stand_in {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Returns nullopt if an escape is incomplete or not hexadecimal.
std::optional<std::string> decode(std::string_view Text, bool PlusIsBlank) {
  const auto Encoded =
      boost::urls::make_pct_string_view({Text.data(), Text.size()});
  if (!Encoded)
    return std::nullopt;
  boost::urls::encoding_opts Options;
  Options.space_as_plus = PlusIsBlank;
  return Encoded->decode(Options);
}

std::optional<std::string> decodeQueryPart(std::string_view Text) {
  return decode(Text, true);
}

/// Returns the parameters in the query of \p Target, still encoded.
std::vector<std::string_view> queryPairs(std::string_view Target) {
  std::vector<std::string_view> Pairs;
  std::size_t Separator = Target.find('?');
  while (Separator != Target.npos) {
    Target.remove_prefix(Separator + 1);
    Separator = Target.find('&');
    Pairs.push_back(Target.substr(0, Separator));
  }
  return Pairs;
}

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
  for (const std::string_view Pair : queryPairs(Target)) {
    const std::size_t Equals = Pair.find('=');
    if (Equals == Pair.npos || decodeQueryPart(Pair.substr(0, Equals)) != Name)
      continue;
    if (auto Value = decodeQueryPart(Pair.substr(Equals + 1)))
      return std::move(*Value);
  }
  return std::string(Default);
}

bool isQueryDecodable(std::string_view Target) {
  return std::ranges::all_of(queryPairs(Target), [](std::string_view Pair) {
    return decodeQueryPart(Pair).has_value();
  });
}

std::string_view pathOf(std::string_view Target) {
  return Target.substr(0, Target.find('?'));
}

std::string decodeSegment(std::string_view Segment) {
  return decode(Segment, false).value_or(std::string(Segment));
}

http_response textResponse(unsigned Status, std::string Body) {
  http_response Response(static_cast<http::status>(Status), 11);
  Response.body() = std::move(Body);
  return Response;
}

} // namespace peridot::stand_in
