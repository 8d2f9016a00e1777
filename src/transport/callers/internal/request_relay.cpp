#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include <boost/beast/http.hpp>

#include "protocol/http/header_rules.h"

namespace peridot {

namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

/// Bytes of a body that are in flight between caller and target.
constexpr std::size_t RelayBufferBytes = 32U << 10U;
/// Attempts at different targets for one request.
constexpr unsigned MaxAttempts = 3;
/// Largest head of a target's answer.
constexpr std::uint32_t MaxAnswerHead = 64U << 10U;

using relay_buffer = std::array<char, RelayBufferBytes>;

/// Copies a body from \p Source, fed by \p From, through \p Sink, which
/// serializes the message with \p SinkBody to \p To, one buffer at a time.
template <typename Parser, typename Serializer>
task<boost::system::error_code>
relayBody(tcp_stream &From, beast::flat_buffer &Buffer, Parser &Source,
          Serializer &Sink, http::buffer_body::value_type &SinkBody,
          tcp_stream &To) {
  auto Space = std::make_unique<relay_buffer>();
  do {
    if (!Source.is_done()) {
      Source.get().body().data = Space->data();
      Source.get().body().size = Space->size();
      auto [ReadError, Read] =
          co_await http::async_read(From, Buffer, Source, UseTaskTuple);
      if (ReadError && ReadError != http::error::need_buffer)
        co_return ReadError;
      SinkBody.size = Space->size() - Source.get().body().size;
      SinkBody.data = Space->data();
      SinkBody.more = !Source.is_done();
    } else {
      SinkBody.data = nullptr;
      SinkBody.size = 0;
      SinkBody.more = false;
    }
    auto [WriteError, Written] =
        co_await http::async_write(To, Sink, UseTaskTuple);
    if (WriteError && WriteError != http::error::need_buffer)
      co_return WriteError;
  } while (!Source.is_done() || !Sink.is_done());
  co_return boost::system::error_code{};
}

refusal attemptRefusal(attempt_progress Progress, request_outcome Outcome,
                       std::string Detail) {
  refusal_kind Kind = refusal_kind::TargetFailed;
  if (Progress == attempt_progress::NotConnected ||
      Progress == attempt_progress::NothingSent)
    Kind = refusal_kind::TargetUnreachable;
  if (Progress == attempt_progress::Shed)
    Kind = refusal_kind::TargetShed;
  return {.Kind = Kind, .Outcome = Outcome, .Detail = std::move(Detail)};
}

} // namespace

task<relay_result> request_relay::run(const admitted_request &Admitted,
                                      const routing_snapshot &Snapshot) {
  Deadline = std::chrono::steady_clock::now() + Admitted.Route->Deadline;
  KeepCaller = Request.get().keep_alive() && !Worker.shuttingDown();
  std::optional<refusal> LastRefusal;
  for (unsigned Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const target *Target = choose(Admitted, Snapshot);
    if (!Target)
      break;
    Tried.push_back(Target->Name);
    const instant StartedAt = bootNow();
    const attempt_result Result = co_await attempt(*Target, *Admitted.Route);
    observe(*Admitted.Service, *Target, Result, StartedAt);
    if (Result.Whole)
      co_return relay_result{.KeepCaller = KeepCaller};
    if (CallerGotBytes)
      co_return relay_result{.KeepCaller = false};
    const attempt_verdict Verdict = judgeAttempt(
        Result.Progress, Admitted.Route->Repeatable, !BodyStarted, false);
    LastRefusal =
        attemptRefusal(Result.Progress, Verdict.Outcome, Result.Detail);
    if (!Verdict.MayRetry || std::chrono::steady_clock::now() >= Deadline)
      break;
  }
  if (!LastRefusal)
    LastRefusal =
        refusal{.Kind = refusal_kind::NoHealthyTarget,
                .Detail = "no target of service " +
                          Admitted.Service->Name.str() + " takes new work"};
  co_return relay_result{.Refusal = std::move(LastRefusal)};
}

const target *request_relay::choose(const admitted_request &Admitted,
                                    const routing_snapshot &Snapshot) {
  std::vector<target_candidate> Candidates;
  Candidates.reserve(Admitted.Service->Targets.size());
  for (const target &Target : Admitted.Service->Targets)
    Candidates.push_back(
        {.Target = &Target,
         .Outstanding = Worker.targets().outstanding(Target.Name),
         .SameDataCenter = Target.DataCenter == Worker.options().DataCenter,
         .AlreadyTried = std::ranges::find(Tried, Target.Name) != Tried.end()});
  return chooseTarget(Snapshot, Candidates, Worker.random(),
                      Admitted.Route->Repeatable);
}

void request_relay::observe(const service &Service, const target &Target,
                            const attempt_result &Result, instant StartedAt) {
  attempt_observation Observation{.Service = Service.Name,
                                  .Target = Target.Name,
                                  .Latency = bootNow() - StartedAt,
                                  .ReusedConnection = Result.ReusedConnection};
  if (Result.Whole)
    Observation.End = Result.Status >= 500 ? attempt_end::AnsweredError
                                           : attempt_end::Answered;
  else if (Result.Progress == attempt_progress::NotConnected)
    Observation.End = attempt_end::ConnectFailed;
  else if (Result.Error == beast::error::timeout)
    Observation.End = attempt_end::TimedOut;
  else
    Observation.End = attempt_end::Broken;
  Worker.observe(std::move(Observation));
}

task<request_relay::attempt_result> request_relay::attempt(const target &Target,
                                                           const route &Route) {
  attempt_result Result;
  const slot_guard Slot = Worker.targets().occupySlot(Target.Name);
  Caller.expires_at(Deadline);
  target_connection_ptr Connection =
      co_await connect(Target, !Route.Repeatable);
  if (!Connection) {
    Result.Detail = "target " + Target.Name.str() + " refused a connection";
    co_return Result;
  }
  Connection->Stream.expires_at(Deadline);
  Result.Progress = attempt_progress::NothingSent;
  boost::system::error_code Error =
      co_await sendRequest(*Connection, Result.Progress);
  bool Reusable = false;
  if (!Error)
    Error = co_await passAnswer(*Connection, Result, Reusable);
  Result.Error = Error;
  if (Error) {
    Result.Detail = "target " + Target.Name.str() + ": " + Error.message();
    co_return Result;
  }
  Result.Whole = true;
  if (Reusable)
    Worker.targets().giveBack(Target.Name, std::move(Connection));
  co_return Result;
}

task<target_connection_ptr> request_relay::connect(const target &Target,
                                                   bool Fresh) {
  if (!Fresh)
    if (auto Idle = Worker.targets().takeIdle(Target.Name))
      co_return Idle;
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
  co_return std::make_unique<target_connection>(std::move(Stream));
}

task<boost::system::error_code>
request_relay::sendRequest(target_connection &Connection,
                           attempt_progress &Progress) {
  http::request<http::buffer_body> Forwarded(Request.get().base());
  removeHopByHopFields(Forwarded);
  removeSecrets(Forwarded);
  Forwarded.body().data = nullptr;
  Forwarded.body().size = 0;
  Forwarded.body().more = !Request.is_done();
  http::request_serializer<http::buffer_body> Serializer(Forwarded);
  Progress = attempt_progress::PartlySent;
  auto [Error, Written] = co_await http::async_write_header(
      Connection.Stream, Serializer, UseTaskTuple);
  if (Error)
    co_return Error;
  if (!Request.is_done()) {
    BodyStarted = true;
    Error = co_await relayBody(Caller, CallerBuffer, Request, Serializer,
                               Forwarded.body(), Connection.Stream);
  }
  if (!Error)
    Progress = attempt_progress::WhollySent;
  co_return Error;
}

task<boost::system::error_code>
request_relay::passAnswer(target_connection &Connection, attempt_result &Result,
                          bool &Reusable) {
  beast::flat_buffer Buffer;
  http::response_parser<http::buffer_body> Answer;
  Answer.header_limit(MaxAnswerHead);
  Answer.body_limit(boost::none);
  Answer.skip(Request.get().method() == http::verb::head);
  auto [Error, Read] = co_await http::async_read_header(
      Connection.Stream, Buffer, Answer, UseTaskTuple);
  if (Error)
    co_return Error;
  Result.Progress = attempt_progress::AnswerStarted;
  Result.Status = Answer.get().result_int();
  http::response<http::buffer_body> Passed(Answer.get().base());
  const bool TargetKeeps = Answer.get().keep_alive();
  removeHopByHopFields(Passed);
  // An answer that ends with its connection has no length of its own.
  if (!Answer.is_done() && !Answer.content_length() && !Answer.chunked())
    Passed.chunked(true);
  Passed.keep_alive(KeepCaller);
  Passed.body().data = nullptr;
  Passed.body().size = 0;
  Passed.body().more = !Answer.is_done();
  http::response_serializer<http::buffer_body> Serializer(Passed);
  CallerGotBytes = true;
  auto [WriteError, Written] =
      co_await http::async_write_header(Caller, Serializer, UseTaskTuple);
  if (WriteError)
    co_return WriteError;
  if (!Answer.is_done())
    Error = co_await relayBody(Connection.Stream, Buffer, Answer, Serializer,
                               Passed.body(), Caller);
  Reusable = !Error && TargetKeeps && Buffer.size() == 0;
  co_return Error;
}

} // namespace peridot
