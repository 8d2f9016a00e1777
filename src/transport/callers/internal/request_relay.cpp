#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include <netinet/tcp.h>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace peridot {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

/// Attempts at different targets for one request.
constexpr unsigned MaxAttempts = 3;
/// Largest head of a target's answer.
constexpr std::uint32_t MaxAnswerHead = 64U << 10U;
/// First room for a target's answer.
constexpr std::size_t AnswerBufferBytes = 4U << 10U;
/// Time after which sent but unacknowledged bytes end a target connection.
constexpr std::chrono::duration<int, std::milli> UnacknowledgedLimit{5'000};
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

using user_timeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// True for errors that the bytes of the other end caused.
bool isParseError(const boost::system::error_code &Error) {
  return Error.category() ==
             http::make_error_code(http::error::bad_field).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

bool isTimeout(const boost::system::error_code &Error) {
  return Error == beast::error::timeout || Error == asio::error::timed_out;
}

refusal_kind kindOf(attempt_progress Progress) {
  switch (Progress) {
  case attempt_progress::NotConnected:
  case attempt_progress::NothingSent:
    return refusal_kind::TargetUnreachable;
  case attempt_progress::Shed:
    return refusal_kind::TargetShed;
  case attempt_progress::PartlySent:
  case attempt_progress::WhollySent:
  case attempt_progress::AnswerStarted:
    return refusal_kind::TargetFailed;
  }
  return refusal_kind::TargetFailed;
}

refusal bodyTooLarge(const route &Route) {
  return {.Kind = refusal_kind::BodyTooLarge,
          .Detail = "the body is larger than " +
                    std::to_string(Route.MaxBodyBytes) + " bytes"};
}

retry_party partyOf(const admitted_request &Admitted) {
  return {.Account = Admitted.Account ? Admitted.Account->Name : account_name(),
          .Service = Admitted.Service->Name};
}

bool announcesTooMuch(const caller_request_parser &Request,
                      const route &Route) {
  const auto Length = Request.content_length();
  return Length && *Length > Route.MaxBodyBytes;
}

} // namespace

task<relay_result> request_relay::run(const admitted_request &Admitted,
                                      const routing_snapshot &Snapshot) {
  Deadline = std::chrono::steady_clock::now() + Admitted.Route->Deadline;
  std::optional<refusal> LastRefusal = co_await gatherBody(*Admitted.Route);
  if (LastRefusal || CallerLeft)
    co_return relay_result{.Refusal = std::move(LastRefusal),
                           .CallerLeft = CallerLeft};
  retry_budget &Retries = Worker.retries().of(partyOf(Admitted));
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const target *Target = choose(Admitted, Snapshot);
    if (!Target)
      break;
    const instant StartedAt = bootNow();
    const attempt_result Result = co_await attempt(*Target, Admitted);
    observe(*Admitted.Service, *Target, Result, StartedAt);
    if (Result.Whole)
      Retries.succeeded();
    if (Result.Whole || CallerGotBytes || Result.CallerLeft)
      co_return relay_result{.KeepCaller = Result.Whole && mayKeepCaller(),
                             .Whole = Result.Whole,
                             .Status = Result.Status,
                             .CallerLeft = Result.CallerLeft};
    const attempt_verdict Verdict =
        judgeAttempt(Result.Progress, Admitted.Route->Repeatable,
                     !BodyConsumed && !Result.Cause, false);
    const refusal_kind Kind =
        isLate() ? refusal_kind::DeadlineExceeded : kindOf(Result.Progress);
    LastRefusal = refusal{.Kind = Result.Cause.value_or(Kind),
                          .Outcome = Verdict.Outcome,
                          .Detail = Result.Detail};
    // An attempt that certainly did not run added no load to a target.
    const bool AddsLoad = Verdict.Outcome == request_outcome::Unknown;
    if (!Verdict.MayRetry || isLate() || (AddsLoad && !Retries.take()))
      break;
    NeedsFresh = diedBeforeUse(Result, *Admitted.Route);
    if (!NeedsFresh)
      Tried.push_back(Target->Name);
  }
  if (!LastRefusal)
    LastRefusal =
        refusal{.Kind = refusal_kind::NoHealthyTarget,
                .Detail = "no target of service " +
                          Admitted.Service->Name.str() + " takes new work"};
  co_return relay_result{.Refusal = std::move(LastRefusal),
                         .KeepCaller = mayKeepCaller()};
}

bool request_relay::mayKeepCaller() const {
  return !UploadCut && Request.get().keep_alive() && !Worker.shuttingDown() &&
         !Worker.snapshot()->Leaving;
}

bool request_relay::diedBeforeUse(const attempt_result &Result,
                                  const route &Route) const {
  return Result.ReusedConnection && Route.Repeatable &&
         Result.Progress != attempt_progress::AnswerStarted &&
         Result.Progress != attempt_progress::Shed && !isTimeout(Result.Error);
}

const target *request_relay::choose(const admitted_request &Admitted,
                                    const routing_snapshot &Snapshot) {
  std::vector<target_candidate> Candidates;
  Candidates.reserve(Admitted.Service->Targets.size());
  for (const target &Target : Admitted.Service->Targets)
    Candidates.push_back(
        {.Target = &Target,
         .Outstanding = Worker.targets().outstanding(Target.Name),
         .ConnectionLimit = Worker.targets().limitOf(Target),
         .SameDataCenter = Target.DataCenter == Worker.options().DataCenter,
         .AlreadyTried = std::ranges::find(Tried, Target.Name) != Tried.end()});
  return chooseTarget(Snapshot, Candidates, Worker.random(),
                      Admitted.Route->Repeatable);
}

attempt_end request_relay::endOf(const attempt_result &Result) {
  if (Result.CallerLeft || Result.Cause)
    return attempt_end::Cancelled;
  if (Result.Whole)
    return Result.Status >= 500 ? attempt_end::AnsweredError
                                : attempt_end::Answered;
  if (Result.Progress == attempt_progress::Shed)
    return attempt_end::Shed;
  if (Result.Progress == attempt_progress::NotConnected)
    return attempt_end::ConnectFailed;
  return isTimeout(Result.Error) ? attempt_end::TimedOut : attempt_end::Broken;
}

void request_relay::observe(const service &Service, const target &Target,
                            const attempt_result &Result, instant StartedAt) {
  const instant Now = bootNow();
  const instant HeadAt = Result.HeadAt == instant{} ? Now : Result.HeadAt;
  const duration Age =
      Result.OpenedAt == instant{} ? duration{0} : Now - Result.OpenedAt;
  Worker.observe({.Service = Service.Name,
                  .Target = Target.Name,
                  .End = endOf(Result),
                  .Latency = HeadAt - StartedAt,
                  .ReusedConnection = Result.ReusedConnection,
                  .ConnectionAge = Age,
                  .Signal = Result.Report.Draining ? target_signal::Draining
                                                   : target_signal::None,
                  .ReportedLoad = Result.Report.Load});
}

task<std::optional<refusal>> request_relay::gatherBody(const route &Route) {
  if (Request.is_done())
    co_return std::nullopt;
  if (announcesTooMuch(Request, Route))
    co_return bodyTooLarge(Route);
  Watch.cancelAt(Deadline);
  Caller.expires_never();
  boost::system::error_code Error;
  if (Request.get().count(http::field::expect) > 0) {
    const auto Continue =
        asio::buffer(ContinueAnswer.data(), ContinueAnswer.size());
    std::tie(Error, std::ignore) =
        co_await asio::async_write(Caller, Continue, UseTaskTuple);
  }
  Space = std::make_unique_for_overwrite<relay_buffer>();
  while (!Error && !Request.is_done() && Gathered < Space->size()) {
    auto [ReadError, Size] =
        co_await readBodyPart(Caller, CallerBuffer, Request, *Space, Gathered);
    Error = ReadError;
    Gathered += Size;
  }
  const bool Late = Watch.deadlinePassed();
  Watch.disarm();
  if (Gathered > Route.MaxBodyBytes)
    co_return bodyTooLarge(Route);
  if (Late)
    co_return refusal{.Kind = refusal_kind::DeadlineExceeded,
                      .Detail = "the body did not arrive in time"};
  if (isParseError(Error))
    co_return refusal{.Kind = refusal_kind::MalformedRequest,
                      .Detail = "body: " + Error.message()};
  CallerLeft = static_cast<bool>(Error);
  co_return std::nullopt;
}

task<request_relay::attempt_result>
request_relay::attempt(const target &Target, const admitted_request &Admitted) {
  attempt_result Result;
  const slot_guard Slot = Worker.targets().occupySlot(Target.Name);
  target_connection_ptr Connection =
      co_await connect(Target, NeedsFresh || !Admitted.Route->Repeatable);
  if (!Connection) {
    Result.Detail = "target " + Target.Name.str() + " refused a connection";
    co_return Result;
  }
  Result.ReusedConnection = Connection->Uses++ > 0;
  Result.OpenedAt = Connection->OpenedAt;
  Result.Progress = attempt_progress::NothingSent;
  Result.AttemptId = std::to_string(Worker.random());
  Connection->Stream.expires_at(Deadline);
  co_await sendRequest(*Connection, Admitted, Result);
  bool Reusable = false;
  if (!Result.Error && !Result.Cause && !Result.CallerLeft) {
    Watch.closeWhenCallerLeaves(Connection->Stream);
    Result.Error =
        co_await passAnswer(*Connection, *Admitted.Service, Result, Reusable);
    Result.CallerLeft = Watch.callerLeft();
    Watch.disarm();
  }
  if (Result.Error)
    Result.Detail =
        "target " + Target.Name.str() + ": " + Result.Error.message();
  Result.Whole = !Result.Error && !Result.Cause && !Result.CallerLeft &&
                 Result.Progress == attempt_progress::AnswerStarted;
  noteConnection(Target, Result);
  if (Reusable && !UploadCut)
    Worker.targets().giveBack(Target, std::move(Connection));
  co_return Result;
}

void request_relay::noteConnection(const target &Target,
                                   const attempt_result &Result) {
  if (Result.HeadAt != instant{})
    Worker.noteConnection(Target.Name,
                          connection_answered{.OpenedAt = Result.OpenedAt});
  else if (isTimeout(Result.Error))
    Worker.noteConnection(
        Target.Name, connection_timed_out{.OpenedAt = Result.OpenedAt,
                                          .Reused = Result.ReusedConnection});
}

task<target_connection_ptr> request_relay::connect(const target &Target,
                                                   bool Fresh) {
  if (!Fresh)
    if (auto Idle = Worker.targets().takeIdle(Target.Name))
      co_return Idle;
  Worker.targets().makeRoom(Target);
  boost::system::error_code Error;
  const auto Address = asio::ip::make_address(Target.Address, Error);
  if (Error)
    co_return nullptr;
  tcp_stream Stream(Worker.loop().get_executor());
  Stream.expires_at(Deadline);
  auto [ConnectError] = co_await Stream.async_connect(
      asio::ip::tcp::endpoint(Address, Target.Port), UseTaskTuple);
  if (ConnectError)
    co_return nullptr;
  Stream.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  Stream.socket().set_option(user_timeout(UnacknowledgedLimit.count()), Error);
  co_return std::make_unique<target_connection>(std::move(Stream));
}

task<void> request_relay::sendRequest(target_connection &Connection,
                                      const admitted_request &Admitted,
                                      attempt_result &Result) {
  http::request<http::buffer_body> Forwarded(Request.get().base());
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Deadline - std::chrono::steady_clock::now());
  prepareForTarget(
      Forwarded,
      {.Account = Admitted.Account ? Admitted.Account->Name.view() : "",
       .TimeLeft = std::max(TimeLeft, std::chrono::milliseconds{0}),
       .AttemptId = Result.AttemptId});
  auto &Body = Forwarded.body();
  Body.data = Gathered > 0 ? Space->data() : nullptr;
  Body.size = Gathered;
  Body.more = BodyConsumed || !Request.is_done();
  http::request_serializer<http::buffer_body> Serializer(Forwarded);
  auto [Error, Written] =
      co_await http::async_write(Connection.Stream, Serializer, UseTaskTuple);
  if (Written > 0)
    Result.Progress = attempt_progress::PartlySent;
  if (Error && Error != http::error::need_buffer) {
    Result.Error = Error;
    co_return;
  }
  if (!Request.is_done())
    co_await streamBody(Connection, Serializer, Body,
                        Admitted.Route->MaxBodyBytes, Result);
  if (!Result.Error && !Result.Cause && !UploadCut)
    Result.Progress = attempt_progress::WhollySent;
}

template <typename Serializer>
task<void>
request_relay::streamBody(target_connection &Connection, Serializer &Sink,
                          http::buffer_body::value_type &SinkBody,
                          std::uint64_t MaxBodyBytes, attempt_result &Result) {
  BodyConsumed = true;
  UploadCut = true;
  Watch.cancelWhenTargetAnswers(Connection.Stream);
  Watch.cancelAt(Deadline);
  CallerBuffer.reserve(RelayBufferBytes);
  body_copy<caller_request_parser, Serializer> Copy{.From = Caller,
                                                    .Buffer = CallerBuffer,
                                                    .Source = Request,
                                                    .Sink = Sink,
                                                    .SinkBody = SinkBody,
                                                    .To = Connection.Stream,
                                                    .Space = *Space,
                                                    .Watch = Watch,
                                                    .Allowance = MaxBodyBytes -
                                                                 Gathered};
  const relay_end End = co_await relayBody(Copy);
  noteUploadEnd(End, Result);
  Watch.disarm();
}

void request_relay::noteUploadEnd(const relay_end &End,
                                  attempt_result &Result) {
  Result.Error = End.Error;
  switch (End.Failed) {
  case relay_part::None:
    UploadCut = false;
    break;
  case relay_part::Limit:
    Result.Cause = refusal_kind::BodyTooLarge;
    Result.Detail = "the body is larger than the limit of the route";
    break;
  case relay_part::Source:
    if (isParseError(End.Error))
      Result.Cause = refusal_kind::MalformedRequest;
    else
      Result.CallerLeft = true;
    break;
  case relay_part::Watch:
    if (!Watch.targetAnswered()) {
      Result.Cause = refusal_kind::DeadlineExceeded;
      break;
    }
    [[fallthrough]];
  case relay_part::Sink:
    // The target may have answered before it took the whole body.
    Result.Error = {};
    break;
  }
}

task<boost::system::error_code>
request_relay::passAnswer(target_connection &Connection, const service &Service,
                          attempt_result &Result, bool &Reusable) {
  beast::flat_buffer Buffer;
  Buffer.reserve(AnswerBufferBytes);
  std::optional<http::response_parser<http::buffer_body>> Answer;
  do {
    Answer.emplace();
    Answer->header_limit(MaxAnswerHead);
    Answer->body_limit(boost::none);
    Answer->skip(Request.get().method() == http::verb::head);
    auto [Error, Read] = co_await http::async_read_header(
        Connection.Stream, Buffer, *Answer, UseTaskTuple);
    if (Error)
      co_return Error;
  } while (Answer->get().result() == http::status::continue_ ||
           Answer->get().result() == http::status::processing);
  if (Service.EchoesAttemptId &&
      !answersAttempt(Answer->get(), Result.AttemptId)) {
    Worker.metrics().counterOf("peridot_foreign_answers_total").add();
    co_return make_error_code(boost::system::errc::bad_message);
  }
  Result.HeadAt = bootNow();
  Result.Status = Answer->get().result_int();
  Result.Report = readTargetReport(Answer->get(), Result.Status);
  const bool TargetKeeps = Answer->get().keep_alive();
  if (Result.Report.Shed) {
    Result.Progress = attempt_progress::Shed;
    Result.Detail = "the target shed the request";
    co_return boost::system::error_code{};
  }
  Result.Progress = attempt_progress::AnswerStarted;
  const auto Error = co_await passBody(Connection, Buffer, *Answer, Result);
  Reusable = !Error && TargetKeeps && Buffer.size() == 0;
  co_return Error;
}

template <typename Parser>
task<boost::system::error_code>
request_relay::passBody(target_connection &Connection,
                        beast::flat_buffer &Buffer, Parser &Answer,
                        attempt_result &Result) {
  http::response<http::buffer_body> Passed(Answer.get().base());
  prepareForCaller(Passed);
  // An answer that ends with its connection has no length of its own.
  if (!Answer.is_done() && !Answer.content_length() && !Answer.chunked())
    Passed.chunked(true);
  Passed.keep_alive(mayKeepCaller());
  Passed.body().data = nullptr;
  Passed.body().size = 0;
  Passed.body().more = !Answer.is_done();
  http::response_serializer<http::buffer_body> Serializer(Passed);
  Caller.expires_at(Deadline);
  // Body bytes that came with the head go out with it.
  if (Answer.is_done() || Buffer.size() == 0) {
    CallerGotBytes = true;
    auto [Error, Written] =
        co_await http::async_write_header(Caller, Serializer, UseTaskTuple);
    if (Error || Answer.is_done())
      co_return Error;
  }
  if (!Space)
    Space = std::make_unique_for_overwrite<relay_buffer>();
  body_copy<Parser, http::response_serializer<http::buffer_body>> Copy{
      .From = Connection.Stream,
      .Buffer = Buffer,
      .Source = Answer,
      .Sink = Serializer,
      .SinkBody = Passed.body(),
      .To = Caller,
      .Space = *Space,
      .Watch = Watch};
  const relay_end End = co_await relayBody(Copy);
  CallerGotBytes =
      Serializer.is_header_done() || End.Failed == relay_part::Sink;
  Result.CallerLeft = End.Failed == relay_part::Sink;
  co_return End.Error;
}

} // namespace peridot
