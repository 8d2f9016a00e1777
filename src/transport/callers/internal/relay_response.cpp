/// \file
/// Relays the response from the target to the caller; part of request_relay.
#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include <boost/beast/http.hpp>

#include "protocol/http/beast_view.h"

namespace peridot {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Maximum size of the head of a target's response.
constexpr std::uint32_t MaxResponseHeadBytes = 64U << 10U;
/// Initial capacity of the buffer for a target's response.
constexpr std::size_t InitialResponseBufferBytes = 4U << 10U;
/// Maximum number of responses to earlier requests that are discarded before
/// the connection counts as broken.
constexpr int MaxMismatchedResponses = 3;
/// Maximum body size of such a response.
constexpr std::uint64_t MaxMismatchedBodyBytes = 256U << 10U;
/// Maximum number of interim responses (1xx) before the response.
constexpr int MaxInterimResponses = 8;
/// Maximum time for a caller to receive a buffered response.
constexpr std::chrono::seconds DeliveryTimeout{5};

/// Whether another response follows to the same request. Beast does not know
/// all interim statuses by name.
bool isInterim(unsigned Status) {
  return http::to_status_class(Status) == http::status_class::informational &&
         http::int_to_status(Status) != http::status::switching_protocols;
}

/// Whether a status ends a request. The parser accepts any three digits; 101
/// is invalid as the fields that ask for another protocol are not forwarded.
bool isFinal(unsigned Status) {
  constexpr unsigned MinFinalStatus = 200;
  constexpr unsigned MaxStatus = 599;
  return Status >= MinFinalStatus && Status <= MaxStatus;
}

/// HTTP version of responses to callers. Clients of earlier versions know no
/// chunks, so the target's version must not be forwarded.
constexpr unsigned ResponseVersion = 11;

} // namespace

task<boost::system::error_code> request_relay::readResponseHead(
    target_connection &Connection, beast::flat_buffer &Buffer,
    std::optional<target_response_parser> &Response, const service &Service,
    const attempt_result &Result) {
  const http_dialect &Dialect = Worker.dialect();
  int InterimResponses = 0;
  for (int MismatchedResponses = 0;
       MismatchedResponses <= MaxMismatchedResponses &&
       InterimResponses <= MaxInterimResponses;) {
    Response.emplace();
    Response->header_limit(MaxResponseHeadBytes);
    Response->body_limit(boost::none);
    Response->skip(Request.get().method() == http::verb::head);
    auto [Error, Read] = co_await http::async_read_header(
        Connection.Stream, Buffer, *Response, UseTaskTuple);
    if (Error)
      co_return Error;
    if (isInterim(Response->get().result_int())) {
      ++InterimResponses;
      continue;
    }
    if (!isFinal(Response->get().result_int()))
      co_return make_error_code(http::error::bad_status);
    const auto Echo = Response->get()[toBeast(Dialect.AttemptField)];
    if (!Service.EchoesAttemptId || Echo == Result.AttemptId)
      co_return boost::system::error_code{};
    Worker.metrics().getOrCreateCounter("peridot_foreign_answers_total").add();
    // Only a reused connection can carry responses to earlier requests.
    if (!Result.ReusedConnection || Echo.empty())
      break;
    buffered_response Dropped;
    if (const auto DropError = co_await bufferResponse(
            Connection, Buffer, *Response, MaxMismatchedBodyBytes, Dropped))
      co_return DropError;
    ++MismatchedResponses;
  }
  co_return make_error_code(boost::system::errc::bad_message);
}

task<boost::system::error_code> request_relay::bufferResponse(
    target_connection &Connection, beast::flat_buffer &Buffer,
    target_response_parser &Response, std::uint64_t MaxBodyBytes,
    buffered_response &Buffered) {
  if (!BodyBuffer)
    BodyBuffer = std::make_unique_for_overwrite<relay_buffer>();
  while (!Response.is_done()) {
    auto [Error, Size] = co_await readBodyPart(Connection.Stream, Buffer,
                                               Response, *BodyBuffer, 0);
    Buffered.Body.append(BodyBuffer->data(), Size);
    if (Error && !Response.is_done())
      co_return Error;
    if (Buffered.Body.size() > MaxBodyBytes)
      co_return make_error_code(http::error::body_limit);
  }
  Buffered.Head = Response.get().base();
  co_return boost::system::error_code{};
}

task<boost::system::error_code>
request_relay::relayResponse(target_connection &Connection,
                             const admitted_request &Admitted,
                             attempt_result &Result, bool &Reusable) {
  beast::flat_buffer Buffer;
  Buffer.reserve(InitialResponseBufferBytes);
  std::optional<target_response_parser> Response;
  if (const auto Error = co_await readResponseHead(Connection, Buffer, Response,
                                                   *Admitted.Service, Result))
    co_return Error;
  ResponseTimer.stop();
  Result.HeadReceivedAt = bootNow();
  Result.Status = Response->get().result_int();
  Result.Report = Worker.dialect().ReadReport(Response->get(), Result.Status);
  Worker.applyPauseRequest(*Result.Target, Result.Report, Result.AttemptId);
  Result.KeepAlive = readKeepAlive(Response->get());
  const bool TargetKeeps = Response->get().keep_alive();
  if (Result.Report.Shed || Result.Report.Misdirected) {
    Result.Progress = attempt_progress::Shed;
    Result.Detail = Result.Report.Shed
                        ? "the target shed the request"
                        : "the address now belongs to another target";
    co_return boost::system::error_code{};
  }
  Result.Progress = attempt_progress::ResponseStarted;
  if (!Result.Report.Genuine)
    co_return make_error_code(boost::system::errc::bad_message);
  // The target gave up the connection before it had read the request, so its
  // end does not tell whether the response is complete.
  if (Result.IsRequestTruncated && Response->need_eof())
    co_return make_error_code(http::error::partial_message);
  const auto Length = Response->content_length();
  if (Length)
    Result.ResponseBytes = *Length;
  buffered_response Buffered;
  const bool IsBuffered = Length &&
                          Request.get().method() != http::verb::head &&
                          holdResponse(Admitted, *Length, Buffered);
  if (!Response->is_done() && BuffersHeld.bytes() == 0)
    Worker.holdForResponse(BuffersHeld, StreamBufferBytes);
  if (!IsBuffered) {
    const auto Error =
        co_await relayResponseBody(Connection, Buffer, *Response, Result);
    Reusable = !Error && TargetKeeps && Buffer.size() == 0;
    co_return Error;
  }
  Buffered.Body.reserve(*Length);
  if (const auto Error = co_await bufferResponse(Connection, Buffer, *Response,
                                                 *Length, Buffered))
    co_return Error;
  Reusable = TargetKeeps && Buffer.size() == 0;
  Result.Buffered = std::move(Buffered);
  co_return boost::system::error_code{};
}

bool request_relay::holdResponse(const admitted_request &Admitted,
                                 std::uint64_t Bytes,
                                 buffered_response &Buffered) {
  const route &Route = *Admitted.Route;
  buffer_reservation Reservation;
  held_reservation Held;
  if (!Worker.responseBuffers().reserve(
          Bytes, Route.IsRepeatable && Route.HasLargeResponses, Reservation) ||
      !Worker.hold(Held, held_kind::BufferedResponse, priorityOf(Admitted),
                   Bytes))
    return false;
  Buffered.Reservation = std::move(Reservation);
  Buffered.Held = std::move(Held);
  return true;
}

task<boost::system::error_code>
request_relay::deliver(buffered_response Buffered) {
  http::response<http::string_body> Forwarded(std::move(Buffered.Head),
                                              std::move(Buffered.Body));
  prepareForCaller(Forwarded, Worker.dialect());
  Forwarded.version(ResponseVersion);
  SentKeepAlive = canKeepCallerConnection();
  Forwarded.keep_alive(SentKeepAlive);
  CallerGotBytes = true;
  Progress.enter(request_step::Response);
  // A complete response is delivered even after the request's deadline.
  const delivery_limit Limit{
      std::max(Deadline, std::chrono::steady_clock::now() + DeliveryTimeout)};
  http::response_serializer<http::string_body> Serializer(Forwarded);
  co_return co_await writeAvailable(Caller, Serializer, Limit);
}

template <typename Parser>
task<boost::system::error_code>
request_relay::relayResponseBody(target_connection &Connection,
                                 beast::flat_buffer &Buffer, Parser &Response,
                                 attempt_result &Result) {
  http::response<http::buffer_body> Forwarded(Response.get().base());
  prepareForCaller(Forwarded, Worker.dialect());
  Forwarded.version(ResponseVersion);
  // A response that ends when the target closes the connection has no length,
  // so it is sent to the caller in chunks.
  if (!Response.is_done() && !Response.content_length() && !Response.chunked())
    Forwarded.chunked(true);
  SentKeepAlive = canKeepCallerConnection();
  Forwarded.keep_alive(SentKeepAlive);
  Forwarded.body().data = nullptr;
  Forwarded.body().size = 0;
  Forwarded.body().more = !Response.is_done();
  http::response_serializer<http::buffer_body> Serializer(Forwarded);
  const delivery_limit Limit{Deadline};
  Caller.expires_at(Limit.ofWrite());
  Watch.noteResponseStarted();
  // If body bytes were received with the head, both are sent together.
  if (Response.is_done() || Buffer.size() == 0) {
    CallerGotBytes = true;
    Progress.enter(request_step::Response);
    auto [Error, Written] =
        co_await http::async_write_header(Caller, Serializer, UseTaskTuple);
    Result.CallerDisconnected = Error.failed();
    if (Error || Response.is_done())
      co_return Error;
    // No further attempt can follow.
    BufferedBody = {};
    BodyHeld.release();
  }
  if (!BodyBuffer)
    BodyBuffer = std::make_unique_for_overwrite<relay_buffer>();
  body_copy<Parser, http::response_serializer<http::buffer_body>> Copy{
      .From = Connection.Stream,
      .Buffer = Buffer,
      .Source = Response,
      .Sink = Serializer,
      .SinkBody = Forwarded.body(),
      .To = Caller,
      .BodyBuffer = *BodyBuffer,
      .Watch = Watch,
      .Response = &Progress,
      .Delivery = Limit};
  const copy_result End = co_await relayBody(Copy);
  CallerGotBytes =
      Serializer.is_header_done() || End.Failure == copy_failure::Sink;
  Result.CallerDisconnected = End.Failure == copy_failure::Sink;
  co_return End.Error;
}

} // namespace peridot
