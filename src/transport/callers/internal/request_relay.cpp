#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "protocol/http/beast_view.h"
#include "transport/callers/internal/relay_errors.h"
#include "transport/callers/internal/service_queue.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

/// One out of this number of successful attempts is logged.
constexpr std::uint64_t LogSampleInterval = 256;
/// No further attempt is made with less time than this left before the
/// deadline.
constexpr std::chrono::milliseconds MinAttemptTime{20};
/// Number of failed connects after which no further target is tried.
constexpr unsigned MaxFailedConnects = 3;
/// A repeatable request is retried at another target if no response head is
/// received within this multiple of its route's typical latency, but not before
/// MinResponseTimeout.
constexpr int TypicalLatencyFactor = 4;
constexpr std::chrono::milliseconds MinResponseTimeout{200};
/// Retry-After of a request that did not run at any target.
constexpr std::chrono::milliseconds NotRunRetryAfter{200};
/// Maximum fraction added at random to the Retry-After that follows from the
/// pauses of targets, so that callers do not return together.
constexpr double MaxRetryAfterSpread = 0.1;
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

refusal_kind kindOf(attempt_progress Progress) {
  switch (Progress) {
  case attempt_progress::NotConnected:
  case attempt_progress::NothingSent:
    return refusal_kind::TargetUnreachable;
  case attempt_progress::Shed:
    return refusal_kind::TargetShed;
  case attempt_progress::PartiallySent:
  case attempt_progress::FullySent:
  case attempt_progress::ResponseStarted:
    return refusal_kind::TargetFailed;
  }
  return refusal_kind::TargetFailed;
}

refusal bodyTooLarge(const route &Route) {
  return {.Kind = refusal_kind::BodyTooLarge,
          .Detail = "the request body is larger than " +
                    std::to_string(Route.MaxBodyBytes) + " bytes"};
}

retry_budget_key retryBudgetKeyOf(const admitted_request &Admitted) {
  return {.Account = Admitted.Account ? Admitted.Account->Name : account_name(),
          .Service = Admitted.Service->Name};
}

refusal shutdownRefusal() {
  return {.Kind = refusal_kind::ShuttingDown,
          .Detail = "this VM stopped before the request had ended"};
}

refusal memoryShort() {
  return {.Kind = refusal_kind::MemoryShort,
          .Detail = "this VM has no memory left for the request's body",
          .RetryAfter = NotRunRetryAfter};
}

bool declaresOversizedBody(const caller_request_parser &Request,
                           const route &Route) {
  const auto Length = Request.content_length();
  return Length && *Length > Route.MaxBodyBytes;
}

} // namespace

std::string callerStalledDetail() {
  return "the caller sent nothing of the request body for " +
         std::to_string(MaxCallerIdleTime.count()) + " s";
}

unsigned priorityOf(const admitted_request &Admitted) {
  return Admitted.Account && Admitted.Account->Priority != DefaultPriority
             ? Admitted.Account->Priority
             : Admitted.Route->Priority;
}

std::chrono::milliseconds requestTimeout(const caller_request_parser &Request,
                                         const http_dialect &Dialect,
                                         const route &Route) {
  const auto CallerTimeout = readCallerDeadline(Request.get(), Dialect);
  return CallerTimeout ? std::min(*CallerTimeout, Route.Deadline)
                       : Route.Deadline;
}

task<relay_result> request_relay::run(const admitted_request &Admitted,
                                      service_slot Taken, duration Waited) {
  Slot.emplace(std::move(Taken));
  relay_result Result = co_await relay(Admitted, Waited);
  endAttempts();
  co_return Result;
}

task<relay_result> request_relay::relay(const admitted_request &Admitted,
                                        duration Waited) {
  Deadline = std::chrono::steady_clock::now() - Waited +
             requestTimeout(Request, Worker.dialect(), *Admitted.Route);
  if (timeUntilTargetReturns(Admitted)) {
    // The session discards the body, of which nothing has been read.
    relay_result Refused = co_await finishRequest(Admitted);
    Refused.KeepCallerConnection = true;
    co_return Refused;
  }
  const running_requests::entry Running(Worker.runningRequests(),
                                        [this] { endForShutdown(); });
  Progress.enter(request_step::Body);
  LastRefusal = co_await bufferBody(Admitted);
  if (LastRefusal)
    co_return relay_result{.Refusal = std::move(LastRefusal)};
  if (BodyError)
    co_return relay_result{
        .CallerDisconnected = true,
        .Unanswered = unanswered_request{
            .Cause = unanswered_cause::BodyNotReceived, .Error = BodyError}};
  retry_budget &Retries =
      Worker.retries().getOrCreate(retryBudgetKeyOf(Admitted));
  Retries.recordRequest();
  Worker.retryReserve(Admitted.Service->Name)
      .recordRequest(urgencyClassOf(Admitted.Account, *Admitted.Route));
  while (!EndedForShutdown && ConnectedAttempts < Admitted.Route->MaxAttempts &&
         FailedConnects < MaxFailedConnects) {
    // Targets may have been removed since the request was received.
    const snapshot_ptr Snapshot = Worker.snapshot();
    const target *Target = choose(Admitted, *Snapshot, Retries);
    if (!Target)
      break;
    RetryTime = retryTime(Admitted, Retries);
    Progress.enter(request_step::Target);
    attempt_result Result = co_await attemptAndObserve(*Target, Admitted);
    if (Result.IsWithdrawn) {
      Worker.metrics()
          .getOrCreateCounter("peridot_attempts_withdrawn_total")
          .add();
      continue;
    }
    HasAskedTarget |= Result.Progress > attempt_progress::NothingSent;
    if (Result.IsComplete)
      Retries.recordSuccess();
    if (CallerGotBytes || Result.CallerDisconnected ||
        (Result.IsComplete && !Result.Buffered))
      co_return relay_result{.KeepCallerConnection =
                                 Result.IsComplete && SentKeepAlive,
                             .IsComplete = Result.IsComplete,
                             .Status = Result.Status,
                             .CallerDisconnected = Result.CallerDisconnected,
                             .HasAskedTarget = HasAskedTarget,
                             .Unanswered = describeUnanswered(Result)};
    if (!prepareRetry(Result, Admitted, Retries))
      break;
    NeedsNewConnection = failedOnStaleConnection(Result, *Admitted.Route);
    if (!NeedsNewConnection)
      TriedTargets.push_back(Target->Name);
  }
  co_return co_await finishRequest(Admitted);
}

task<relay_result>
request_relay::finishRequest(const admitted_request &Admitted) {
  // The caller may receive the response slowly.
  endAttempts();
  if (LastBuffered) {
    const unsigned Status = LastBuffered->Head.result_int();
    const auto Error = co_await deliver(std::move(*LastBuffered));
    relay_result Result{.KeepCallerConnection = !Error && SentKeepAlive,
                        .IsComplete = !Error,
                        .Status = Status,
                        .CallerDisconnected = Error.failed(),
                        .HasAskedTarget = true};
    if (Error)
      Result.Unanswered = unanswered_request{
          .Cause = unanswered_cause::ResponseUndelivered, .Error = Error};
    co_return Result;
  }
  if (EndedForShutdown)
    LastRefusal = shutdownRefusal();
  if (!LastRefusal)
    LastRefusal = refusal{.Kind = refusal_kind::NoHealthyTarget,
                          .Detail = noTargetDetail(Admitted)};
  LastRefusal->Outcome =
      MayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
  if (!MayHaveRun)
    LastRefusal->RetryAfter = retryAfter(Admitted);
  co_return relay_result{.Refusal = std::move(LastRefusal),
                         .KeepCallerConnection = canKeepCallerConnection(),
                         .HasAskedTarget = HasAskedTarget};
}

void request_relay::endForShutdown() {
  if (Progress.step() == request_step::Response)
    return;
  EndedForShutdown = true;
  Watch.cancelNow();
  if (AttemptStream)
    AttemptStream->cancel();
}

std::optional<unanswered_request>
request_relay::describeUnanswered(const attempt_result &Result) {
  if (Result.IsComplete)
    return std::nullopt;
  if (!Result.CallerDisconnected)
    return unanswered_request{.Cause = unanswered_cause::ResponseIncomplete,
                              .Error = Result.Error};
  const auto Cause = isTimeout(Result.Error)
                         ? unanswered_cause::ResponseUndelivered
                         : unanswered_cause::CallerLeft;
  return unanswered_request{.Cause = Cause, .Error = Result.Error};
}

std::optional<duration>
request_relay::timeUntilTargetReturns(const admitted_request &Admitted) const {
  return Worker.pauses().timeUntilFirst(
      Worker.snapshot()->targetsOf(*Admitted.Service), bootNow());
}

std::string
request_relay::noTargetDetail(const admitted_request &Admitted) const {
  const std::string &Service = Admitted.Service->Name.str();
  if (timeUntilTargetReturns(Admitted))
    return "all targets of service " + Service + " asked for a pause";
  return "no target of service " + Service + " accepts new requests";
}

std::chrono::milliseconds
request_relay::retryAfter(const admitted_request &Admitted) const {
  const auto Wait = timeUntilTargetReturns(Admitted);
  const bool IsShed =
      LastRefusal && LastRefusal->Kind == refusal_kind::TargetShed;
  if (!Wait && IsShed && Worker.snapshot()->RegisteredTargets)
    return Worker.queues().returnTime(Admitted, NotRunRetryAfter,
                                      Worker.random());
  if (!Wait)
    return NotRunRetryAfter;
  const duration Spread =
      spreadDelay(*Wait, MaxRetryAfterSpread, Worker.random());
  return std::max(std::chrono::ceil<std::chrono::milliseconds>(Spread),
                  NotRunRetryAfter);
}

std::optional<std::chrono::steady_clock::time_point>
request_relay::retryTime(const admitted_request &Admitted,
                         const retry_budget &Retries) const {
  const route &Route = *Admitted.Route;
  const duration TypicalLatency =
      Worker.routeStatistics().typicalLatency(Route);
  if (isLeaving() || !mayRetry(Admitted, Retries) || !Request.is_done() ||
      TypicalLatency == duration{0})
    return std::nullopt;
  const auto ResponseTimeout = std::max<duration>(
      TypicalLatency * TypicalLatencyFactor, MinResponseTimeout);
  const auto Time = std::chrono::steady_clock::now() + ResponseTimeout;
  return Time < Deadline ? std::optional(Time) : std::nullopt;
}

double request_relay::reservedRetries(const admitted_request &Admitted) const {
  return Worker.retryReserve(Admitted.Service->Name)
      .reservedFor(urgencyClassOf(Admitted.Account, *Admitted.Route),
                   bootNow());
}

bool request_relay::prepareRetry(attempt_result &Result,
                                 const admitted_request &Admitted,
                                 retry_budget &Retries) {
  const bool HasConnected = Result.Progress != attempt_progress::NotConnected;
  ++(HasConnected ? ConnectedAttempts : FailedConnects);
  const attempt_verdict Verdict =
      classifyAttempt(Result.Progress, Admitted.Route->IsRepeatable,
                      !BodyConsumed && !Result.Cause, false);
  MayHaveRun |= Verdict.Outcome == request_outcome::Unknown;
  refusal_kind Kind = kindOf(Result.Progress);
  if (Result.IsWithheld)
    Kind = refusal_kind::NoHealthyTarget;
  if (isPastDeadline())
    Kind = refusal_kind::DeadlineExceeded;
  LastRefusal =
      refusal{.Kind = Result.Cause.value_or(Kind), .Detail = Result.Detail};
  const bool IsFinal =
      Result.Buffered && (Result.Status < 500 || !Admitted.Route->IsRepeatable);
  if (Result.Buffered)
    LastBuffered = std::move(Result.Buffered);
  const auto TimeLeft = Deadline - std::chrono::steady_clock::now();
  if (IsFinal || !Verdict.MayRetry || TimeLeft < MinAttemptTime)
    return false;
  const bool IsCharged = Verdict.Outcome == request_outcome::Unknown ||
                         (HasConnected && Worker.retries().chargesRefused());
  if (!IsCharged || Retries.take(reservedRetries(Admitted)))
    return true;
  LastRefusal->Detail += "; not sent again, as the retry budget is used up";
  return false;
}

bool request_relay::canKeepCallerConnection() const {
  // The rest of an unread body must not be parsed as the next request.
  return Request.is_done() && Request.get().keep_alive() && !isLeaving();
}

bool request_relay::isLeaving() const {
  return Worker.isShuttingDown() || Worker.snapshot()->Leaving;
}

bool request_relay::failedOnStaleConnection(const attempt_result &Result,
                                            const route &Route) const {
  return Result.ReusedConnection && Route.IsRepeatable &&
         Result.Progress != attempt_progress::ResponseStarted &&
         Result.Progress != attempt_progress::Shed &&
         isConnectionClosed(Result.Error);
}

task<request_relay::attempt_result>
request_relay::attemptAndObserve(const target &Target,
                                 const admitted_request &Admitted) {
  const instant StartedAt = bootNow();
  load_balancer *LoadBalancer = Worker.loadBalancer();
  const duration TypicalLatency =
      Worker.routeStatistics().typicalLatency(*Admitted.Route);
  const std::uint64_t Id =
      LoadBalancer ? LoadBalancer->begin(Target.Name, StartedAt, TypicalLatency)
                   : 0;
  const bool IsTrial = Worker.pauses().begin(Target, StartedAt);
  attempt_result Result = co_await attempt(Target, Admitted);
  if (IsTrial)
    Worker.pauses().endTrial(Target, endOf(Result));
  observe(*Admitted.Service, Target, Result, StartedAt);
  Worker.retryReserve(Admitted.Service->Name)
      .recordAttempt(endOf(Result) == attempt_end::Shed, bootNow());
  logAttempt(Admitted, Target, Result, StartedAt);
  if (!LoadBalancer)
    co_return Result;
  const instant Now = bootNow();
  const attempt_end End = endOf(Result);
  std::optional<double> LatencyRatio;
  if (End == attempt_end::Responded) {
    const duration Latency = Now - StartedAt;
    if (TypicalLatency > duration{0})
      LatencyRatio = std::chrono::duration<double>(Latency) /
                     std::chrono::duration<double>(TypicalLatency);
    Worker.routeStatistics().recordLatency(*Admitted.Route, Latency);
    if (Result.ResponseBytes)
      Worker.routeStatistics().recordResponseBytes(*Admitted.Route,
                                                   *Result.ResponseBytes);
  }
  LoadBalancer->noteLoad(Target.Name, Result.Report.Slots, Now);
  LoadBalancer->end(Target.Name, Id, End, LatencyRatio, Now);
  co_return Result;
}

attempt_end request_relay::endOf(const attempt_result &Result) {
  if (Result.CallerDisconnected || Result.Cause || Result.IsWithheld ||
      Result.IsWithdrawn)
    return attempt_end::Cancelled;
  if (Result.IsComplete || Result.Buffered)
    return Result.Status >= 500 ? attempt_end::RespondedError
                                : attempt_end::Responded;
  if (Result.Progress == attempt_progress::Shed)
    return attempt_end::Shed;
  if (Result.Progress == attempt_progress::NotConnected)
    return attempt_end::ConnectFailed;
  return isTimeout(Result.Error) ? attempt_end::TimedOut : attempt_end::Broken;
}

void request_relay::logAttempt(const admitted_request &Admitted,
                               const target &Target,
                               const attempt_result &Result,
                               instant StartedAt) {
  const attempt_end End = endOf(Result);
  // Of the successful attempts only a sample is logged.
  if (End == attempt_end::Responded && Worker.random() % LogSampleInterval != 0)
    return;
  const auto Millis = [](duration Span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
  };
  const instant Now = bootNow();
  const load_balancer *LoadBalancer = Worker.loadBalancer();
  logEvent(
      log_level::Info, "attempt-ended",
      {{"request", std::string_view(Result.AttemptId)},
       {"service", Admitted.Service->Name.view()},
       {"target", Target.Name.view()},
       {"data_center", Target.DataCenter.view()},
       {"end", nameOf(End)},
       {"status", std::int64_t{Result.Status}},
       {"cause", std::string_view(Result.Detail)},
       {"reused_connection", Result.ReusedConnection},
       {"chosen_for_floor", ChosenForFloor},
       {"illness",
        LoadBalancer ? LoadBalancer->faultProbability(Target.Name, Now) : 0.0},
       {"took_ms", Millis(Now - StartedAt)},
       {"attempt", static_cast<std::int64_t>(TriedTargets.size() + 1)},
       {"most_attempts", std::int64_t{Admitted.Route->MaxAttempts}},
       {"repeatable", Admitted.Route->IsRepeatable}});
}

void request_relay::observe(const service &Service, const target &Target,
                            const attempt_result &Result, instant StartedAt) {
  const instant Now = bootNow();
  const instant HeadReceivedAt =
      Result.HeadReceivedAt == instant{} ? Now : Result.HeadReceivedAt;
  const duration Age =
      Result.OpenedAt == instant{} ? duration{0} : Now - Result.OpenedAt;
  // A misdirected or foreign response is that of another process.
  const bool SaysDraining = Result.Report.Draining &&
                            !Result.Report.Misdirected && Result.Report.Genuine;
  Worker.observe(
      {.Service = Service.Name,
       .Target = Target.Name,
       .TargetStartedAt = Target.StartedAt,
       .End = endOf(Result),
       .Latency = HeadReceivedAt - StartedAt,
       .ReusedConnection = Result.ReusedConnection,
       .ConnectionAge = Age,
       .Signal = SaysDraining ? target_signal::Draining : target_signal::None,
       .SignallingRequest = SaysDraining ? Result.AttemptId : std::string(),
       .ReportedLoad = Result.Report.Load});
}

void request_relay::endAttempts() {
  Slot.reset();
  BufferedBody = {};
  BodyHeld.release();
  BodyBuffer.reset();
  BuffersHeld.release();
}

bool request_relay::extendBodyBuffer(const admitted_request &Admitted) {
  const std::size_t Limit = Worker.options().RequestBufferBytes;
  const auto Length = Request.content_length();
  const std::size_t NextPart = std::min<std::uint64_t>(
      RelayBufferBytes, Request.content_length_remaining().value_or(Limit));
  const std::size_t Needed = BufferedBody.size() + NextPart;
  if (Needed <= BodyHeld.bytes())
    return true;
  // The buffer of a body without a length doubles.
  const std::size_t Size =
      Length ? std::min<std::uint64_t>(*Length, Limit + RelayBufferBytes)
             : std::max<std::uint64_t>(Needed, 2 * BodyHeld.bytes());
  if (!Worker.hold(BodyHeld, held_kind::BufferedRequest, priorityOf(Admitted),
                   Size - BodyHeld.bytes()))
    return false;
  BufferedBody.reserve(Size);
  return true;
}

task<boost::system::error_code>
request_relay::fillBodyBuffer(const admitted_request &Admitted) {
  boost::system::error_code Error;
  while (!Error && !Request.is_done() &&
         BufferedBody.size() < Worker.options().RequestBufferBytes &&
         extendBodyBuffer(Admitted)) {
    Watch.awaitCaller();
    auto [ReadError, Size] =
        co_await readBodyPart(Caller, CallerBuffer, Request, *BodyBuffer, 0);
    Watch.endAwaitCaller();
    Error = ReadError;
    BufferedBody.append(BodyBuffer->data(), Size);
  }
  co_return Error;
}

std::optional<refusal>
request_relay::bodyRefusal(const route &Route,
                           boost::system::error_code Error) const {
  if (BufferedBody.size() > Route.MaxBodyBytes)
    return bodyTooLarge(Route);
  if (EndedForShutdown)
    return shutdownRefusal();
  if (Watch.hasCallerStalled())
    return refusal{.Kind = refusal_kind::DeadlineExceeded,
                   .Detail = callerStalledDetail()};
  if (Watch.hasDeadlinePassed())
    return refusal{.Kind = refusal_kind::DeadlineExceeded,
                   .Detail =
                       "the request body was not received before the deadline"};
  if (isParseError(Error))
    return refusal{.Kind = refusal_kind::MalformedRequest,
                   .Detail = "invalid request body: " + Error.message()};
  return std::nullopt;
}

task<std::optional<refusal>>
request_relay::bufferBody(const admitted_request &Admitted) {
  if (Request.is_done())
    co_return std::nullopt;
  if (declaresOversizedBody(Request, *Admitted.Route))
    co_return bodyTooLarge(*Admitted.Route);
  if (!Worker.hold(BuffersHeld, held_kind::StreamedRequest,
                   priorityOf(Admitted), StreamBufferBytes))
    co_return memoryShort();
  Watch.cancelAt(Deadline);
  Caller.expires_never();
  boost::system::error_code Error;
  if (Request.get().count(http::field::expect) > 0) {
    const auto Continue =
        asio::buffer(ContinueResponse.data(), ContinueResponse.size());
    std::tie(Error, std::ignore) =
        co_await asio::async_write(Caller, Continue, UseTaskTuple);
  }
  BodyBuffer = std::make_unique_for_overwrite<relay_buffer>();
  if (!Error)
    Error = co_await fillBodyBuffer(Admitted);
  auto Refusal = bodyRefusal(*Admitted.Route, Error);
  Watch.disarm();
  if (Request.is_done()) {
    BodyBuffer.reset();
    BuffersHeld.release();
  }
  if (!Refusal)
    BodyError = Error;
  co_return Refusal;
}

} // namespace peridot
