#include "transport/operators/operator_client.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace peridot {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

/// Timeout of connecting, sending and receiving together.
constexpr std::chrono::seconds RequestTimeout{5};

tl::unexpected<error> nodeFailure(const asio::ip::tcp::endpoint &Endpoint,
                                  const boost::system::error_code &Error) {
  return fail(error_kind::Unavailable,
              "node " + Endpoint.address().to_string() + ":" +
                  std::to_string(Endpoint.port()) +
                  " does not respond: " + Error.message(),
              "check that the node runs, and the address and number of its "
              "operator port");
}

task<result<operator_response>> exchange(asio::io_context &Loop,
                                         asio::ip::tcp::endpoint Endpoint,
                                         operator_request OperatorRequest) {
  tcp_stream Stream(Loop.get_executor());
  Stream.expires_after(RequestTimeout);
  auto [ConnectError] = co_await Stream.async_connect(Endpoint, UseTaskTuple);
  if (ConnectError)
    co_return nodeFailure(Endpoint, ConnectError);
  http::request<http::string_body> Request(
      http::string_to_verb(OperatorRequest.Method), OperatorRequest.Path, 11,
      OperatorRequest.Body);
  Request.set(http::field::host, "node");
  Request.prepare_payload();
  auto [WriteError, Written] =
      co_await http::async_write(Stream, Request, UseTaskTuple);
  if (WriteError)
    co_return nodeFailure(Endpoint, WriteError);
  boost::beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  auto [ReadError, Read] =
      co_await http::async_read(Stream, Buffer, Response, UseTaskTuple);
  if (ReadError)
    co_return nodeFailure(Endpoint, ReadError);
  co_return operator_response{
      .Status = Response.result_int(),
      .ContentType = std::string(Response[http::field::content_type]),
      .Body = std::move(Response.body())};
}

task<void> storeResponse(asio::io_context &Loop,
                         asio::ip::tcp::endpoint Endpoint,
                         operator_request OperatorRequest,
                         std::optional<result<operator_response>> &Outcome) {
  Outcome =
      co_await exchange(Loop, std::move(Endpoint), std::move(OperatorRequest));
}

} // namespace

std::vector<result<operator_response>>
sendOperatorRequests(std::span<const asio::ip::tcp::endpoint> Endpoints,
                     const operator_request &Request) {
  asio::io_context Loop(1);
  std::vector<std::optional<result<operator_response>>> Outcomes(
      Endpoints.size());
  for (std::size_t Index = 0; Index < Endpoints.size(); ++Index)
    asio::co_spawn(
        Loop, storeResponse(Loop, Endpoints[Index], Request, Outcomes[Index]),
        asio::detached);
  Loop.run();
  std::vector<result<operator_response>> Responses;
  for (auto &Outcome : Outcomes)
    Responses.push_back(
        Outcome ? std::move(*Outcome)
                : fail(error_kind::Internal,
                       "the operator request ended without a result",
                       "report this as a defect"));
  return Responses;
}

result<operator_response>
sendOperatorRequest(const asio::ip::tcp::endpoint &Endpoint,
                    const operator_request &Request) {
  return std::move(
      sendOperatorRequests(std::span(&Endpoint, 1), Request).front());
}

} // namespace peridot
