/// \file
/// Sends the request to one target; part of request_relay.
#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "protocol/http/beast_view.h"
#include "transport/callers/internal/relay_errors.h"
#include "transport/runtime/dead_peer_detection.h"

namespace peridot {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

/// Fraction of the keep-alive timeout announced by a target for which an idle
/// connection is reused.
constexpr double KeepAliveFraction = 0.7;
/// Maximum time to connect, so that time is left for another target if this
/// one is unreachable.
constexpr std::chrono::milliseconds ConnectTimeout{300};
/// An idle connection is checked by its next request, so there are no probes.
constexpr dead_peer_limits DeadPeerLimits{.Unacknowledged =
                                              std::chrono::seconds(5)};

/// HTTP version since which clients accept interim responses, as Beast has it.
constexpr unsigned MinInterimVersion = 11;

} // namespace

task<request_relay::attempt_result>
request_relay::attempt(const target &Target, const admitted_request &Admitted) {
  attempt_result Result;
  Result.Target = &Target;
  const slot_guard Slot = Worker.targets().occupySlot(Target.Name);
  target_connection_ptr Connection =
      co_await connect(Target, maxIdleTime(*Admitted.Route));
  if (EndedForShutdown) {
    Result.Cause = refusal_kind::ShuttingDown;
    co_return Result;
  }
  // The control thread may have learned of an evacuation while this attempt
  // waited for its connection.
  if (Worker.snapshot()->isEvacuated(Target.DataCenter)) {
    Result.IsWithdrawn = true;
    Result.Detail = "data centre " + Target.DataCenter.str() +
                    " was evacuated before anything was sent";
    co_return Result;
  }
  if (!Connection) {
    Result.Detail =
        "target " + Target.Name.str() + " did not accept a connection";
    co_return Result;
  }
  if (!maySendTo(Target)) {
    Result.IsWithheld = true;
    Result.Detail = "target " + Target.Name.str() +
                    " has become cold; the request was not sent to it";
    Worker.targets().returnConnection(Target, std::move(Connection));
    co_return Result;
  }
  Result.ReusedConnection = Connection->RequestCount++ > 0;
  Result.OpenedAt = Connection->OpenedAt;
  Result.Progress = attempt_progress::NothingSent;
  const http_dialect &Dialect = Worker.dialect();
  Result.AttemptId =
      Dialect.CallerSetsAttemptId
          ? std::string(Request.get()[toBeast(Dialect.AttemptField)])
          : std::to_string(Worker.random());
  AttemptStream = &Connection->Stream;
  Connection->Stream.expires_at(Deadline);
  // A VM that began to leave does not break off an attempt that a target may be
  // working on.
  ResponseTimer.start(Connection->Stream, RetryTime,
                      [this] { return !isLeaving(); });
  co_await sendRequest(*Connection, Target.Name.view(), Admitted, Result);
  bool Reusable = false;
  if (!Result.Error && !Result.Cause && !Result.CallerDisconnected) {
    Watch.closeWhenCallerDisconnects(
        Connection->Stream,
        {.IsRepeatable = Admitted.Route->IsRepeatable,
         .AcceptsInterim = Request.get().version() >= MinInterimVersion});
    Result.Error =
        co_await relayResponse(*Connection, Admitted, Result, Reusable);
    Result.CallerDisconnected |= Watch.hasCallerDisconnected();
    Watch.disarm();
  }
  ResponseTimer.stop();
  AttemptStream = nullptr;
  if (Result.Error && EndedForShutdown)
    Result.Cause = refusal_kind::ShuttingDown;
  if (Result.Error && ResponseTimer.hasFired())
    Result.Error = boost::beast::error::timeout;
  if (Result.Error)
    Result.Detail =
        "target " + Target.Name.str() + ": " + Result.Error.message();
  Result.IsComplete = !Result.Error && !Result.Cause &&
                      !Result.CallerDisconnected &&
                      Result.Progress == attempt_progress::ResponseStarted;
  recordConnectionEvent(Target, Result);
  if (Reusable && !Result.IsRequestTruncated) {
    if (Result.KeepAlive)
      Connection->KeepAliveTime = std::chrono::duration_cast<duration>(
          *Result.KeepAlive * KeepAliveFraction);
    Worker.targets().returnConnection(Target, std::move(Connection));
  }
  co_return Result;
}

duration request_relay::maxIdleTime(const route &Route) const {
  if (NeedsNewConnection)
    return duration{0};
  return Route.IsRepeatable ? target_pool::IdleLimit
                            : Worker.targets().unrepeatableIdleLimit();
}

void request_relay::recordConnectionEvent(const target &Target,
                                          const attempt_result &Result) {
  if (Result.HeadReceivedAt != instant{})
    Worker.recordConnectionEvent(
        Target.Name, connection_responded{.OpenedAt = Result.OpenedAt});
  else if (isTimeout(Result.Error))
    Worker.recordConnectionEvent(
        Target.Name, connection_timed_out{.OpenedAt = Result.OpenedAt,
                                          .Reused = Result.ReusedConnection});
}

task<target_connection_ptr> request_relay::connect(const target &Target,
                                                   duration MaxIdleTime) {
  if (MaxIdleTime > duration{0})
    if (auto Idle = Worker.targets().takeIdle(Target.Name, MaxIdleTime))
      co_return Idle;
  Worker.targets().evictIdleIfFull(Target);
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address(Target.Address, Error);
  if (Error)
    co_return nullptr;
  tcp_stream Stream(Worker.loop().get_executor());
  Stream.expires_at(
      std::min(Deadline, std::chrono::steady_clock::now() + ConnectTimeout));
  AttemptStream = &Stream;
  auto [ConnectError] = co_await Stream.async_connect(
      asio::ip::tcp::endpoint(Address, Target.Port), UseTaskTuple);
  AttemptStream = nullptr;
  if (ConnectError)
    co_return nullptr;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  enableDeadPeerDetection(Stream.socket(), DeadPeerLimits);
  co_return std::make_unique<target_connection>(std::move(Stream));
}

task<void> request_relay::sendRequest(target_connection &Connection,
                                      std::string_view TargetName,
                                      const admitted_request &Admitted,
                                      attempt_result &Result) {
  http::request<http::buffer_body> Forwarded(Request.get().base());
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - std::chrono::steady_clock::now());
  prepareForTarget(
      Forwarded, Worker.dialect(),
      {.Account = Admitted.Account ? Admitted.Account->Name.view() : "",
       .TimeLeft = std::max(TimeLeft, std::chrono::milliseconds{0}),
       .AttemptId = Result.AttemptId,
       .TargetName = TargetName});
  auto &Body = Forwarded.body();
  Body.data = BufferedBody.empty() ? nullptr : BufferedBody.data();
  Body.size = BufferedBody.size();
  Body.more = BodyConsumed || !Request.is_done();
  http::request_serializer<http::buffer_body> Serializer(Forwarded);
  if (BufferedBody.size() > RelayBufferBytes)
    Watch.cancelWhenTargetResponds(Connection.Stream);
  auto [Error, Written] =
      co_await http::async_write(Connection.Stream, Serializer, UseTaskTuple);
  const bool TargetResponded = Watch.hasTargetResponded();
  Watch.disarm();
  if (Written > 0)
    Result.Progress = attempt_progress::PartiallySent;
  // The target may respond before it has read the whole body.
  Result.IsRequestTruncated = TargetResponded && !Serializer.is_done();
  if (Result.IsRequestTruncated)
    co_return;
  if (Error && Error != http::error::need_buffer) {
    Result.Error = Error;
    co_return;
  }
  if (!Request.is_done())
    co_await streamBody(Connection, Serializer, Body,
                        Admitted.Route->MaxBodyBytes, Result);
  if (!Result.Error && !Result.Cause && !Result.IsRequestTruncated)
    Result.Progress = attempt_progress::FullySent;
}

template <typename Serializer>
task<void>
request_relay::streamBody(target_connection &Connection, Serializer &Sink,
                          http::buffer_body::value_type &SinkBody,
                          std::uint64_t MaxBodyBytes, attempt_result &Result) {
  BodyConsumed = true;
  Watch.cancelWhenTargetResponds(Connection.Stream);
  Watch.cancelAt(Deadline);
  CallerBuffer.reserve(RelayBufferBytes);
  body_copy<caller_request_parser, Serializer> Copy{
      .From = Caller,
      .Buffer = CallerBuffer,
      .Source = Request,
      .Sink = Sink,
      .SinkBody = SinkBody,
      .To = Connection.Stream,
      .BodyBuffer = *BodyBuffer,
      .Watch = Watch,
      .AllowedBytes = MaxBodyBytes - BufferedBody.size()};
  const copy_result End = co_await relayBody(Copy);
  recordUploadResult(End, Result);
  Watch.disarm();
}

void request_relay::recordUploadResult(const copy_result &End,
                                       attempt_result &Result) {
  Result.Error = End.Error;
  Result.IsRequestTruncated = !End.isComplete();
  switch (End.Failure) {
  case copy_failure::None:
    break;
  case copy_failure::Limit:
    Result.Cause = refusal_kind::BodyTooLarge;
    Result.Detail = "the request body is larger than the limit of the route";
    break;
  case copy_failure::Source:
    if (isParseError(End.Error))
      Result.Cause = refusal_kind::MalformedRequest;
    else
      Result.CallerDisconnected = true;
    break;
  case copy_failure::Watch:
    if (!Watch.hasTargetResponded()) {
      Result.Cause = refusal_kind::DeadlineExceeded;
      if (Watch.hasCallerStalled()) {
        Result.Error = {};
        Result.Detail = callerStalledDetail();
      }
      break;
    }
    [[fallthrough]];
  case copy_failure::Sink:
    // The target may have responded before it read the whole body.
    Result.Error = {};
    break;
  }
}

} // namespace peridot
