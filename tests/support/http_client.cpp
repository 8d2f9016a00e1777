#include "support/http_client.h"

#include <algorithm>
#include <cerrno>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace peridot::test {

namespace asio = boost::asio;
namespace http = boost::beast::http;

struct http_connection::impl {
  asio::io_context Loop;
  asio::ip::tcp::socket Socket{Loop};
  boost::beast::flat_buffer Buffer;
  bool IsConnected = false;
};

namespace {

client_response
toClientResponse(const http::response<http::string_body> &Parsed) {
  client_response Response{.Status = Parsed.result_int(),
                           .Body = Parsed.body()};
  for (const auto &Field : Parsed) {
    std::string Name(Field.name_string());
    std::ranges::transform(Name, Name.begin(), [](unsigned char Letter) {
      return static_cast<char>(std::tolower(Letter));
    });
    Response.Fields[Name] = std::string(Field.value());
  }
  return Response;
}

} // namespace

http_connection::http_connection(std::uint16_t Port,
                                 const std::string &SourceAddress)
    : Impl(std::make_unique<impl>()) {
  if (!SourceAddress.empty()) {
    Impl->Socket.open(asio::ip::tcp::v4());
    Impl->Socket.bind({asio::ip::make_address(SourceAddress), 0});
  }
  boost::system::error_code Error;
  Impl->Socket.connect({asio::ip::make_address("127.0.0.1"), Port}, Error);
  Impl->IsConnected = !Error;
  // Without a read timeout a missing response would hang the whole test run.
  const timeval Limit{.tv_sec = 60, .tv_usec = 0};
  setsockopt(Impl->Socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &Limit,
             sizeof(Limit));
}

http_connection::~http_connection() = default;

bool http_connection::isConnected() const { return Impl->IsConnected; }

bool http_connection::isClosedByPeer() const {
  char Byte = 0;
  const ssize_t Size = recv(Impl->Socket.native_handle(), &Byte, sizeof(Byte),
                            MSG_PEEK | MSG_DONTWAIT);
  return Size == 0 || (Size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

client_response http_connection::call(const http_call &Call) {
  http::request<http::string_body> Request(http::string_to_verb(Call.Method),
                                           Call.Path, 11, Call.Body);
  Request.set(http::field::host, "fleet");
  for (const http_field &Field : Call.Fields)
    Request.insert(Field.Name, Field.Value);
  Request.prepare_payload();
  boost::system::error_code Error;
  http::write(Impl->Socket, Request, Error);
  if (Error)
    return {.Error = Error.message()};
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  Parser.skip(Call.Method == "HEAD");
  http::read(Impl->Socket, Impl->Buffer, Parser, Error);
  if (Error)
    return {.Error = Error.message()};
  return toClientResponse(Parser.get());
}

bool http_connection::send(const std::string &Bytes) {
  boost::system::error_code Error;
  asio::write(Impl->Socket, asio::buffer(Bytes), Error);
  return !Error;
}

void http_connection::shutDownSending() {
  boost::system::error_code Ignored;
  Impl->Socket.shutdown(asio::ip::tcp::socket::shutdown_send, Ignored);
}

void http_connection::reset() {
  boost::system::error_code Ignored;
  Impl->Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Impl->Socket.close(Ignored);
}

client_response http_connection::receive() {
  http::response_parser<http::string_body> Parser;
  Parser.body_limit(boost::none);
  boost::system::error_code Error;
  http::read(Impl->Socket, Impl->Buffer, Parser, Error);
  if (Error)
    return {.Error = Error.message()};
  return toClientResponse(Parser.get());
}

std::string http_connection::receiveUntil(const std::string &Text) {
  std::string Received;
  char Chunk[4096];
  boost::system::error_code Error;
  while (!Error && Received.find(Text) == std::string::npos) {
    const std::size_t Size = Impl->Socket.read_some(asio::buffer(Chunk), Error);
    Received.append(Chunk, Size);
  }
  return Received;
}

std::string http_connection::sendRaw(const std::string &Bytes) {
  boost::system::error_code Error;
  asio::write(Impl->Socket, asio::buffer(Bytes), Error);
  std::string Received;
  char Chunk[4096];
  while (!Error) {
    const std::size_t Size = Impl->Socket.read_some(asio::buffer(Chunk), Error);
    Received.append(Chunk, Size);
  }
  return Received;
}

client_response httpCall(std::uint16_t Port, const http_call &Call) {
  return http_connection(Port).call(Call);
}

void throwTimedOut(const std::string &What) {
  throw std::runtime_error("timed out while waiting for: " + What);
}

void pauseBeforeRetry() {
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

} // namespace peridot::test
