#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "protocol/http/beast_view.h"
#include "transport/callers/internal/relay_errors.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace http = boost::beast::http;
namespace asio = boost::asio;

namespace {

/// One in this many good attempts is logged.
constexpr std::uint64_t SampledAttempts = 256;
/// Time that must be left for another attempt.
constexpr std::chrono::milliseconds LeastAttemptTime{20};
/// Targets without a connection after which a request is given up.
constexpr unsigned MostUnconnected = 3;
/// A repeatable request goes elsewhere when its answer has not begun after this
/// many times the usual time of its route, and after at least LeastPatience.
constexpr int UsualTimesWaited = 4;
constexpr std::chrono::milliseconds LeastPatience{200};
/// Retry-After of a request that certainly did not run.
constexpr std::chrono::milliseconds NotRunDelay{200};
constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

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

std::chrono::milliseconds request_relay::timeAllowed(const route &Route) const {
  const auto Told = readCallerDeadline(Request.get(), Worker.dialect());
  return Told ? std::min(*Told, Route.Deadline) : Route.Deadline;
}

task<relay_result> request_relay::run(const admitted_request &Admitted) {
  Deadline = std::chrono::steady_clock::now() + timeAllowed(*Admitted.Route);
  LastRefusal = co_await gatherBody(*Admitted.Route);
  if (LastRefusal || CallerLeft)
    co_return relay_result{.Refusal = std::move(LastRefusal),
                           .CallerLeft = CallerLeft};
  retry_budget &Retries = Worker.retries().of(partyOf(Admitted));
  Retries.arrived();
  while (Sent < Admitted.Route->MaxAttempts && Unconnected < MostUnconnected) {
    // Targets may have left since the request came.
    const snapshot_ptr Snapshot = Worker.snapshot();
    const target *Target = choose(Admitted, *Snapshot);
    if (!Target)
      break;
    AnswerLimit = answerLimit(*Admitted.Route, Retries);
    attempt_result Result = co_await attemptAndObserve(*Target, Admitted);
    if (Result.Whole)
      Retries.succeeded();
    if (CallerGotBytes || Result.CallerLeft || (Result.Whole && !Result.Held))
      co_return relay_result{.KeepCaller = Result.Whole && CallerKept,
                             .Whole = Result.Whole,
                             .Status = Result.Status,
                             .CallerLeft = Result.CallerLeft};
    if (!tryAgain(Result, Admitted, Retries))
      break;
    NeedsFresh = diedBeforeUse(Result, *Admitted.Route);
    if (!NeedsFresh)
      Tried.push_back(Target->Name);
  }
  co_return co_await conclude(Admitted);
}

task<relay_result> request_relay::conclude(const admitted_request &Admitted) {
  if (LastHeld) {
    const unsigned Status = LastHeld->Head.result_int();
    const bool Taken = co_await deliver(std::move(*LastHeld));
    co_return relay_result{.KeepCaller = Taken && CallerKept,
                           .Whole = Taken,
                           .Status = Status,
                           .CallerLeft = !Taken};
  }
  if (!LastRefusal)
    LastRefusal =
        refusal{.Kind = refusal_kind::NoHealthyTarget,
                .Detail = "no target of service " +
                          Admitted.Service->Name.str() + " takes new work"};
  LastRefusal->Outcome =
      MayHaveRun ? request_outcome::Unknown : request_outcome::NotRun;
  if (!MayHaveRun)
    LastRefusal->RetryAfter = NotRunDelay;
  co_return relay_result{.Refusal = std::move(LastRefusal),
                         .KeepCaller = mayKeepCaller()};
}

std::chrono::steady_clock::time_point
request_relay::answerLimit(const route &Route,
                           const retry_budget &Retries) const {
  const duration Usual = Worker.routeTimes().usual(Route);
  // A leaving VM breaks nothing off at which a target may be at work.
  if (isLeaving() || !Route.Repeatable || Sent + 1 >= Route.MaxAttempts ||
      !Retries.has() || !Request.is_done() || Usual == duration{0})
    return Deadline;
  const auto Patience =
      std::max<duration>(Usual * UsualTimesWaited, LeastPatience);
  return std::min(Deadline, std::chrono::steady_clock::now() + Patience);
}

bool request_relay::tryAgain(attempt_result &Result,
                             const admitted_request &Admitted,
                             retry_budget &Retries) {
  const bool Arrived = Result.Progress != attempt_progress::NotConnected;
  ++(Arrived ? Sent : Unconnected);
  const attempt_verdict Verdict =
      judgeAttempt(Result.Progress, Admitted.Route->Repeatable,
                   !BodyConsumed && !Result.Cause, false);
  MayHaveRun |= Verdict.Outcome == request_outcome::Unknown;
  const refusal_kind Kind =
      isLate() ? refusal_kind::DeadlineExceeded : kindOf(Result.Progress);
  LastRefusal =
      refusal{.Kind = Result.Cause.value_or(Kind), .Detail = Result.Detail};
  const bool Final =
      Result.Held && (Result.Status < 500 || !Admitted.Route->Repeatable);
  if (Result.Held)
    LastHeld = std::move(Result.Held);
  const auto Left = Deadline - std::chrono::steady_clock::now();
  if (Final || !Verdict.MayRetry || Left < LeastAttemptTime)
    return false;
  const bool Charged = Verdict.Outcome == request_outcome::Unknown ||
                       (Arrived && Worker.retries().chargesRefused());
  return !Charged || Retries.take();
}

bool request_relay::mayKeepCaller() const {
  // What is left of a body must not be read as the next request.
  return Request.is_done() && Request.get().keep_alive() && !isLeaving();
}

bool request_relay::isLeaving() const {
  return Worker.shuttingDown() || Worker.snapshot()->Leaving;
}

bool request_relay::diedBeforeUse(const attempt_result &Result,
                                  const route &Route) const {
  return Result.ReusedConnection && Route.Repeatable &&
         Result.Progress != attempt_progress::AnswerStarted &&
         Result.Progress != attempt_progress::Shed && !isTimeout(Result.Error);
}

const target *request_relay::choose(const admitted_request &Admitted,
                                    const routing_snapshot &Snapshot) {
  target_steering *Steering = Worker.steering();
  if (!Steering)
    return chooseByVerdicts(Admitted, Snapshot);
  const steering_choice Choice =
      Steering->choose(Snapshot.targetsOf(*Admitted.Service),
                       {.Repeatable = Admitted.Route->Repeatable,
                        .BodyBytes = GatheredBody.size(),
                        .Tried = Tried},
                       {.DataCenter = Worker.options().DataCenter,
                        .Now = bootNow(),
                        .Random = Worker.random()});
  ChosenForFloor = Choice.ForFloor;
  return Choice.Target;
}

const target *
request_relay::chooseByVerdicts(const admitted_request &Admitted,
                                const routing_snapshot &Snapshot) {
  const std::span<const target> Targets = Snapshot.targetsOf(*Admitted.Service);
  std::vector<target_candidate> Candidates;
  Candidates.reserve(Targets.size());
  for (const target &Target : Targets)
    Candidates.push_back(
        {.Target = &Target,
         .Outstanding = Worker.targets().outstanding(Target.Name),
         .ConnectionLimit = Worker.targets().limitOf(Target),
         .SameDataCenter = Target.DataCenter == Worker.options().DataCenter,
         .AlreadyTried = std::ranges::find(Tried, Target.Name) != Tried.end()});
  return chooseTarget(Snapshot, Candidates, Worker.random(),
                      Admitted.Route->Repeatable);
}

task<request_relay::attempt_result>
request_relay::attemptAndObserve(const target &Target,
                                 const admitted_request &Admitted) {
  const instant StartedAt = bootNow();
  target_steering *Steering = Worker.steering();
  const duration Usual = Worker.routeTimes().usual(*Admitted.Route);
  const std::uint64_t Id =
      Steering ? Steering->begin(Target.Name, StartedAt, Usual) : 0;
  attempt_result Result = co_await attempt(Target, Admitted);
  observe(*Admitted.Service, Target, Result, StartedAt);
  logAttempt(Admitted, Target, Result, StartedAt);
  if (!Steering)
    co_return Result;
  const instant Now = bootNow();
  const attempt_end End = endOf(Result);
  std::optional<double> Pace;
  if (End == attempt_end::Answered) {
    const duration Time = Now - StartedAt;
    if (Usual > duration{0})
      Pace = std::chrono::duration<double>(Time) /
             std::chrono::duration<double>(Usual);
    Worker.routeTimes().note(*Admitted.Route, Time);
  }
  Steering->noteLoad(Target.Name, Result.Report.Slots, Now);
  Steering->end(Target.Name, Id, End, Pace, Now);
  co_return Result;
}

attempt_end request_relay::endOf(const attempt_result &Result) {
  if (Result.CallerLeft || Result.Cause)
    return attempt_end::Cancelled;
  if (Result.Whole || Result.Held)
    return Result.Status >= 500 ? attempt_end::AnsweredError
                                : attempt_end::Answered;
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
  // Unremarkable ones are only counted, but for a sample.
  if (End == attempt_end::Answered && Worker.random() % SampledAttempts != 0)
    return;
  const auto Millis = [](duration Span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
  };
  const instant Now = bootNow();
  const target_steering *Steering = Worker.steering();
  logEvent(log_level::Info, "attempt-ended",
           {{"request", std::string_view(Result.AttemptId)},
            {"service", Admitted.Service->Name.view()},
            {"target", Target.Name.view()},
            {"data_center", Target.DataCenter.view()},
            {"end", nameOf(End)},
            {"status", std::int64_t{Result.Status}},
            {"cause", std::string_view(Result.Detail)},
            {"reused_connection", Result.ReusedConnection},
            {"chosen_for_floor", ChosenForFloor},
            {"illness", Steering ? Steering->illness(Target.Name, Now) : 0.0},
            {"took_ms", Millis(Now - StartedAt)},
            {"attempt", static_cast<std::int64_t>(Tried.size() + 1)},
            {"most_attempts", std::int64_t{Admitted.Route->MaxAttempts}},
            {"repeatable", Admitted.Route->Repeatable}});
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
  while (!Error && !Request.is_done() &&
         GatheredBody.size() < Worker.options().GatherBytes) {
    auto [ReadError, Size] =
        co_await readBodyPart(Caller, CallerBuffer, Request, *Space, 0);
    Error = ReadError;
    GatheredBody.append(Space->data(), Size);
  }
  const bool Late = Watch.deadlinePassed();
  Watch.disarm();
  if (GatheredBody.size() > Route.MaxBodyBytes)
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

} // namespace peridot
