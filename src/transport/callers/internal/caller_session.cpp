#include "transport/callers/internal/caller_session.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include <boost/beast/http.hpp>

#include "coordination/limits/rate_wait.h"
#include "coordination/routing/address_order.h"
#include "protocol/http/beast_view.h"
#include "protocol/http/header_rules.h"
#include "protocol/http/problem_details.h"
#include "protocol/http/request_framing.h"
#include "state/base/hashing.h"
#include "state/base/types/overloaded.h"
#include "state/metrics/series_label.h"
#include "transport/callers/internal/request_relay.h"
#include "transport/callers/internal/service_queue.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

/// Maximum time that a request waits for a confirmation of the configuration.
constexpr std::chrono::milliseconds MaxConfirmationWait{300};
/// Interval at which a waiting request checks for the confirmation.
constexpr std::chrono::milliseconds ConfirmationPollInterval{4};
/// Retry-After of a request refused because keys are stale.
constexpr std::chrono::milliseconds StaleKeysRetryAfter{200};

/// Returns the host name of a Host field, without the port.
std::string_view hostOf(std::string_view Field) {
  return Field.substr(0, Field.rfind(':'));
}

/// Maximum number of bytes of one read while a head is received.
constexpr std::size_t HeadReadBytes = 4U << 10U;
/// Maximum body size of a refused request that is read and discarded to keep
/// the connection; with a larger body the connection is closed.
constexpr std::uint64_t MaxDiscardedBodyBytes = 64U << 10U;
/// Maximum time for the rest of such a body to arrive.
constexpr std::chrono::seconds DiscardTimeout{1};
/// Maximum time without any bytes from the caller, before its connection is
/// closed after the last response.
constexpr std::chrono::seconds CloseTimeout{2};
/// Maximum time in which the caller may go on sending after that response.
constexpr std::chrono::seconds MaxCloseTime{10};

refusal malformed(std::string_view Detail) {
  return {.Kind = refusal_kind::MalformedRequest,
          .Detail = std::string(Detail)};
}

/// Returns the end of a request that was refused before it was passed on.
request_end endOf(const refusal &Refusal) {
  return Refusal.Kind == refusal_kind::RateExceeded ? request_end::RateExceeded
                                                    : request_end::NotRun;
}

request_end endOf(const relay_result &Result) {
  if (Result.CallerDisconnected)
    return request_end::Cancelled;
  if (Result.Refusal)
    return Result.Refusal->Outcome == request_outcome::NotRun
               ? request_end::NotRun
               : request_end::Unknown;
  if (!Result.IsComplete)
    return request_end::Unknown;
  return Result.Status >= 500 ? request_end::RespondedError
                              : request_end::Responded;
}

/// Describes why the account's primary granted no request; empty if none was
/// requested.
std::string describePrimary(const rate_refused &Refused) {
  if (Refused.Primary.empty())
    return "";
  return "; its primary " + Refused.Primary.str() +
         (Refused.ShareRequested ? " did not respond in time"
                                 : " has no requests left");
}

refusal rateExceeded(const client_account &Account,
                     const rate_refused &Refused) {
  std::array<char, 160> Text{};
  std::snprintf(Text.data(), Text.size(),
                "account %s is above its rate; this VM's share is %.1f/s with "
                "burst %.1f of %.1f/s with burst %.1f",
                Account.Name.str().c_str(), Refused.Share.RequestsPerSecond,
                Refused.Share.Burst, Account.Limit.RequestsPerSecond,
                Account.Limit.Burst);
  return {.Kind = refusal_kind::RateExceeded,
          .Detail = Text.data() + describePrimary(Refused),
          .RetryAfter = Refused.RetryAfter};
}

refusal headTooLarge() {
  return {.Kind = refusal_kind::HeadTooLarge,
          .Detail = "the request head is larger than the limit"};
}

refusal bareLineBreak() {
  return malformed(detailOf(head_fault::BareLineBreak));
}

} // namespace

caller_session::~caller_session() {
  Watch->abandon();
  if (IsServing)
    recordUnanswered(unanswered_cause::ProcessEnded,
                     "the process ended before the request did",
                     log_level::Warning);
}

task<void> caller_session::serve(traffic_worker &Worker, tcp_stream Stream) {
  caller_session Session(Worker, std::move(Stream));
  try {
    co_await Session.run();
  } catch (const std::exception &Error) {
    Worker.metrics().getOrCreateCounter("peridot_session_errors_total").add();
    logEvent(log_level::Error, "session-failed",
             {{"request", Session.requestId()},
              {"cause", std::string_view(Error.what())},
              {"rule", "the caller's connection is closed"}});
    if (std::exchange(Session.IsServing, false))
      Session.recordUnanswered(unanswered_cause::SessionFailed, Error.what(),
                               log_level::Error);
  }
  Worker.connectionClosed();
}

task<void> caller_session::rejectConnection(traffic_worker &Worker,
                                            tcp_stream Stream) {
  caller_session Session(Worker, std::move(Stream));
  const refusal Refusal{.Kind = refusal_kind::TooManyConnections,
                        .Detail = "this VM has reached its connection limit"};
  Session.Parser.emplace();
  co_await Session.refuse(Refusal);
  co_await Session.closeGracefully(CloseTimeout);
}

task<void> caller_session::run() {
  bool Open = true;
  while (Open) {
    Open = co_await readHead();
    if (!Open)
      break;
    IsServing = true;
    Progress = request_progress();
    Open = co_await serveRequest();
    IsServing = false;
  }
  // A connection that is closed while it is idle has no response to protect.
  if (!EndedIdle)
    co_await closeGracefully(Worker.isShuttingDown() ? CloseTimeout
                                                     : MaxCloseTime);
}

task<void> caller_session::closeGracefully(std::chrono::seconds MaxTime) {
  boost::system::error_code Error;
  Stream.socket().shutdown(tcp_socket::shutdown_send, Error);
  const auto Limit = std::chrono::steady_clock::now() + MaxTime;
  while (!Error) {
    Stream.expires_at(
        std::min(std::chrono::steady_clock::now() + CloseTimeout, Limit));
    Buffer.clear();
    std::tie(Error, std::ignore) = co_await Stream.async_read_some(
        Buffer.prepare(HeadReadBytes), UseTaskTuple);
  }
}

task<bool> caller_session::readHead() {
  const caller_limits Limits = Worker.limits();
  Parser.emplace();
  HasAskedTarget = false;
  if (Buffer.size() == 0)
    Stream.expires_after(Limits.IdleTimeout);
  else
    Stream.expires_after(Limits.HeadTimeout);
  while (true) {
    const auto Bytes = Buffer.cdata();
    const std::string_view Received(static_cast<const char *>(Bytes.data()),
                                    Bytes.size());
    const auto Size = findHeadEnd(Received);
    if (Size.value_or(Received.size()) > Limits.MaxHeadBytes) {
      const refusal Refusal = headTooLarge();
      co_return co_await refuse(Refusal);
    }
    if (Size)
      co_return co_await acceptHead(*Size);
    if (hasBareLineBreak(Received)) {
      const refusal Refusal = bareLineBreak();
      co_return co_await refuse(Refusal);
    }
    const bool IsIdle = Buffer.size() == 0;
    // The buffer may have grown with the body of an earlier request.
    if (IsIdle && Buffer.capacity() > RelayBufferBytes)
      Buffer.shrink_to_fit();
    if (IsIdle)
      Worker.idleBegan(Stream);
    auto [Error, Count] = co_await Stream.async_read_some(
        Buffer.prepare(HeadReadBytes), UseTaskTuple);
    if (IsIdle)
      Worker.idleEnded(Stream);
    const bool IsCancelled = Error == boost::asio::error::operation_aborted;
    boost::system::error_code Ignored;
    // Bytes may arrive after the worker has chosen to close the connection.
    if (IsCancelled && Stream.socket().available(Ignored) > 0)
      continue;
    if (Error) {
      EndedIdle = IsIdle && IsCancelled;
      co_return false;
    }
    if (Buffer.size() == 0)
      Stream.expires_after(Limits.HeadTimeout);
    Buffer.commit(Count);
  }
}

task<bool> caller_session::acceptHead(std::size_t Size) {
  const std::string_view Head(static_cast<const char *>(Buffer.cdata().data()),
                              Size);
  if (const auto Fault = checkHead(Head)) {
    const refusal Refusal = malformed(detailOf(*Fault));
    co_return co_await refuse(Refusal);
  }
  Parser->header_limit(Worker.limits().MaxHeadBytes);
  Parser->body_limit(boost::none);
  boost::system::error_code Error;
  const std::size_t Parsed = Parser->put(Buffer.cdata(), Error);
  Buffer.consume(Parsed);
  if (!Error && Parser->is_header_done())
    co_return true;
  const refusal Refusal = malformed(Error.message());
  co_return co_await refuse(Refusal);
}

task<bool> caller_session::serveRequest() {
  const auto &Request = Parser->get();
  const std::string_view Path = toStd(Request.target());
  const http_dialect &Dialect = Worker.dialect();
  if (!Dialect.AddressesPath.empty() &&
      Path.substr(0, Path.find('?')) == Dialect.AddressesPath)
    co_return co_await sendAddresses();
  const request_head Head{.Host = hostOf(toStd(Request[http::field::host])),
                          .Method = toStd(Request.method_string()),
                          .Path = Path,
                          .Key = readKey(Request, Dialect)};
  const bool Fresh = co_await awaitConfirmation(Head.Key.has_value());
  if (!Fresh && Head.Key) {
    const refusal Refusal{.Kind = refusal_kind::KeysNotFresh,
                          .Detail = "this VM cannot tell which keys were "
                                    "revoked",
                          .RetryAfter = StaleKeysRetryAfter};
    co_return co_await refuse(Refusal);
  }
  const snapshot_ptr Snapshot = Worker.snapshot();
  admission Admission = decideAdmission(*Snapshot, Head);
  if (const auto *Refusal = std::get_if<refusal>(&Admission))
    co_return co_await refuse(*Refusal);
  auto &Admitted = std::get<admitted_request>(Admission);
  if (!Admitted.Route->Split.empty())
    Admitted.Service = Snapshot->Configuration->findService(
        Admitted.Route->Split[Worker.nextInSplit(*Admitted.Route)].Service);
  co_return co_await forward(Admitted, Snapshot);
}

task<bool> caller_session::awaitConfirmation(bool HasKey) {
  bool Pending = Worker.requestConfirmationIfDue();
  if (!Pending && (!HasKey || Worker.areKeysFresh()))
    co_return Worker.areKeysFresh();
  boost::asio::steady_timer Delay(Worker.loop());
  const auto Limit = std::chrono::steady_clock::now() + MaxConfirmationWait;
  while (std::chrono::steady_clock::now() < Limit && mayWaitHere()) {
    Delay.expires_after(ConfirmationPollInterval);
    co_await Delay.async_wait(UseTaskTuple);
    Pending = Worker.requestConfirmationIfDue();
    if (!Pending && (!HasKey || Worker.areKeysFresh()))
      break;
  }
  co_return Worker.areKeysFresh();
}

task<bool> caller_session::sendAddresses() {
  const snapshot_ptr Snapshot = Worker.snapshot();
  const auto &Request = Parser->get();
  const auto Key = readKey(Request, Worker.dialect());
  const client_account *Account = nullptr;
  if (Snapshot->Configuration && Key)
    Account = Snapshot->Configuration->findAccountByKey(digestOfKey(*Key));
  const std::vector<vm_address> Preferred =
      orderAddresses(Snapshot->Vms,
                     {.Account = Account,
                      .NearestDataCenter = Worker.options().DataCenter,
                      .Random = Worker.random()},
                     address_options{});
  co_return co_await sendText(
      200, "application/json",
      encodeAddresses(Preferred, Worker.options().AddressTimeToLive), nullptr);
}

bool caller_session::mayWaitHere() const {
  const auto &Shutdown = Worker.shutdownSchedule();
  return !Shutdown || mayWait(*Shutdown, bootNow());
}

task<std::optional<refusal>>
caller_session::awaitRate(const admitted_request &Admitted) {
  const client_account &Account = *Admitted.Account;
  boost::asio::steady_timer Delay(Worker.loop());
  rate_wait Wait(bootNow());
  rate_decision Rate = Worker.takeRate(Account, rate_check::First);
  while (const auto *Refused = std::get_if<rate_refused>(&Rate)) {
    if (auto Late = checkShutdown(Admitted))
      co_return Late;
    if (!Wait.shouldContinue(*Refused, bootNow()))
      co_return refuseRate(Admitted, *Refused);
    Delay.expires_after(Refused->PollInterval);
    co_await Delay.async_wait(UseTaskTuple);
    Rate = Worker.takeRate(Account, Wait.nextCheck(*Refused, bootNow()));
  }
  co_return std::nullopt;
}

refusal caller_session::refuseRate(const admitted_request &Admitted,
                                   const rate_refused &Refused) {
  refusal Refusal = rateExceeded(*Admitted.Account, Refused);
  if (Refused.ExpectedPerSecond > 0)
    Refusal.RetryAfter = std::chrono::ceil<std::chrono::milliseconds>(
        Worker.rateReturns(Admitted.Account->Name)
            .join({.Class = urgencyClassOf(Admitted.Account, *Admitted.Route),
                   .PerSecond = Refused.ExpectedPerSecond,
                   .Earliest = Refused.RetryAfter},
                  bootNow(), Worker.random()));
  return Refusal;
}

std::optional<refusal>
caller_session::checkShutdown(const admitted_request &Admitted) const {
  const auto &Shutdown = Worker.shutdownSchedule();
  if (!Shutdown)
    return std::nullopt;
  const instant Now = bootNow();
  const request_duration Request{
      .Timeout = requestTimeout(*Parser, Worker.dialect(), *Admitted.Route),
      .Typical = Worker.routeStatistics().typicalLatency(*Admitted.Route)};
  if (endsBeforeShutdown(Request, *Shutdown, Now))
    return std::nullopt;
  const auto TimeLeft = std::chrono::duration_cast<std::chrono::milliseconds>(
      Shutdown->EndsAt - Now);
  return refusal{.Kind = refusal_kind::ShuttingDown,
                 .Detail = "this VM stops in " +
                           std::to_string(TimeLeft.count()) +
                           " ms, before the request would have ended"};
}

request_times caller_session::timesOf(const admitted_request &Admitted,
                                      instant StartedAt) const {
  const instant Now = bootNow();
  const duration Timeout =
      requestTimeout(*Parser, Worker.dialect(), *Admitted.Route);
  return {.ArrivedAt = Now,
          .TimeLeft = Timeout - (Now - StartedAt),
          .TypicalLatency =
              Worker.routeStatistics().typicalLatency(*Admitted.Route)};
}

task<bool> caller_session::forward(const admitted_request &Admitted,
                                   snapshot_ptr Snapshot) {
  const request_meters Meters =
      Worker.metersOf(Admitted, Snapshot->Configuration);
  const instant StartedAt = bootNow();
  if (Admitted.Account) {
    Progress.enter(request_step::Rate);
    const std::optional<refusal> Refusal = co_await awaitRate(Admitted);
    if (Refusal) {
      Meters.record(endOf(*Refusal), bootNow() - StartedAt);
      co_return co_await refuse(*Refusal);
    }
  }
  Progress.enter(request_step::Slot);
  const instant SlotRequestedAt = bootNow();
  auto Slot = co_await Worker.queues().acquireSlot(
      {.Admitted = Admitted,
       .Times = timesOf(Admitted, StartedAt),
       .Random = Worker.random()},
      Snapshot);
  if (const auto *Refused = std::get_if<refusal>(&Slot)) {
    Meters.record(request_end::NotRun, bootNow() - StartedAt);
    co_return co_await refuse(*Refused);
  }
  // Checked last, as the request's timeout begins now.
  const auto LateRefusal = checkShutdown(Admitted);
  if (LateRefusal) {
    Meters.record(request_end::NotRun, bootNow() - StartedAt);
    co_return co_await refuse(*LateRefusal);
  }
  request_relay Relay(Worker, Stream, Buffer, *Parser, *Watch, Progress);
  HasAskedTarget = true; // Unknown if the relay ends with an exception.
  // A request that waited by its deadline ends by it, too.
  const duration Waited =
      Snapshot->RegisteredTargets ? bootNow() - SlotRequestedAt : duration{0};
  const relay_result Result = co_await Relay.run(
      Admitted, std::move(std::get<service_slot>(Slot)), Waited);
  Meters.record(endOf(Result), bootNow() - StartedAt);
  IsRequestEndKnown = Result.KeepCallerConnection;
  HasAskedTarget = Result.HasAskedTarget;
  if (Result.Refusal)
    co_return co_await refuse(*Result.Refusal);
  if (Result.Unanswered)
    recordUnanswered(*Result.Unanswered);
  co_return Result.KeepCallerConnection;
}

std::string_view caller_session::requestId() const {
  if (!Parser)
    return {};
  return toStd(Parser->get()[toBeast(Worker.dialect().AttemptField)]);
}

std::chrono::milliseconds caller_session::stoppingFor() const {
  const auto &Shutdown = Worker.shutdownSchedule();
  if (!Shutdown)
    return std::chrono::milliseconds{0};
  return std::chrono::duration_cast<std::chrono::milliseconds>(
      bootNow() - Shutdown->BeganAt);
}

void caller_session::recordUnanswered(const unanswered_request &Request) const {
  recordUnanswered(Request.Cause, Request.Error.message(), Request.level());
}

void caller_session::recordUnanswered(unanswered_cause Cause,
                                      std::string_view Detail,
                                      log_level Level) const {
  const auto &Request = Parser->get();
  logEvent(Level, "request-unanswered",
           {{"request", requestId()},
            {"host", hostOf(toStd(Request[http::field::host]))},
            {"path", toStd(Request.target())},
            {"cause", nameOf(Cause)},
            {"detail", Detail},
            {"target_asked", HasAskedTarget},
            {"step", nameOf(Progress.step())},
            {"step_ms", std::int64_t{Progress.stepAge().count()}},
            {"age_ms", std::int64_t{Progress.age().count()}},
            {"stopping_ms", std::int64_t{stoppingFor().count()}}});
  Worker.metrics()
      .getOrCreateCounter("peridot_unanswered_requests_total",
                          seriesLabel("cause", nameOf(Cause)))
      .add();
}

void caller_session::logRefusal(const refusal &Refusal) const {
  const auto &Request = Parser->get();
  const snapshot_ptr &Snapshot = Worker.snapshot();
  const std::uint64_t Revision =
      Snapshot->Configuration
          ? Snapshot->Configuration->configuration().Revision.Value
          : 0;
  logEvent(log_level::Info, "request-refused",
           {{"request", requestId()},
            {"host", hostOf(toStd(Request[http::field::host]))},
            {"path", toStd(Request.target())},
            {"kind", nameOf(Refusal.Kind)},
            {"status", std::int64_t{statusOf(Refusal)}},
            {"outcome", nameOf(Refusal.Outcome)},
            {"detail", std::string_view(Refusal.Detail)},
            {"retry_after_ms", std::int64_t{Refusal.RetryAfter.count()}},
            {"revision", static_cast<std::int64_t>(Revision)},
            {"keys_fresh_for_ms", Worker.keysFreshFor().count()},
            {"step", nameOf(Progress.step())},
            {"age_ms", std::int64_t{Progress.age().count()}},
            {"stopping_ms", std::int64_t{stoppingFor().count()}}});
}

task<bool> caller_session::refuse(const refusal &Refusal) {
  logRefusal(Refusal);
  Progress.enter(request_step::Response);
  Worker.metrics()
      .getOrCreateCounter("peridot_refusals_total",
                          seriesLabel("kind", nameOf(Refusal.Kind)))
      .add();
  co_await discardSmallBody();
  co_return co_await sendText(statusOf(Refusal), "application/problem+json",
                              encodeProblem(Refusal), &Refusal);
}

task<void> caller_session::discardSmallBody() {
  // The connection of a VM that stops is closed after the response.
  if (Worker.isShuttingDown() || !IsRequestEndKnown ||
      !Parser->is_header_done() || Parser->is_done() ||
      Parser->get().count(http::field::expect) > 0 ||
      !Parser->content_length_remaining() ||
      *Parser->content_length_remaining() > MaxDiscardedBodyBytes)
    co_return;
  std::array<char, HeadReadBytes> Dropped{};
  // A timeout of the stream would close it before the refusal is sent.
  Stream.expires_never();
  Watch->cancelAt(std::chrono::steady_clock::now() + DiscardTimeout);
  boost::system::error_code Error;
  while (!Parser->is_done() && (!Error || Error == http::error::need_buffer)) {
    Parser->get().body().data = Dropped.data();
    Parser->get().body().size = Dropped.size();
    std::tie(Error, std::ignore) =
        co_await http::async_read(Stream, Buffer, *Parser, UseTaskTuple);
  }
  Watch->disarm();
}

task<bool> caller_session::sendText(unsigned Status, std::string ContentType,
                                    std::string Body, const refusal *Refusal) {
  // A connection with an unread request body is closed, as the body would be
  // read as the next request.
  const bool Keep = IsRequestEndKnown && Parser->is_header_done() &&
                    Parser->is_done() && Parser->get().keep_alive() &&
                    !Worker.isShuttingDown() && !Worker.snapshot()->Leaving;
  http::response<http::string_body> Response(static_cast<http::status>(Status),
                                             11, std::move(Body));
  Response.set(http::field::content_type, ContentType);
  const http_dialect &Dialect = Worker.dialect();
  if (Refusal && !Dialect.OutcomeField.empty())
    Response.set(toBeast(Dialect.OutcomeField),
                 toBeast(nameOf(Refusal->Outcome)));
  if (Refusal && Refusal->RetryAfter.count() > 0)
    Response.set(http::field::retry_after,
                 formatRetryAfter(Refusal->RetryAfter, Dialect));
  Response.keep_alive(Keep);
  Response.prepare_payload();
  Stream.expires_after(Worker.limits().HeadTimeout);
  http::response_serializer<http::string_body> Serializer(Response);
  boost::system::error_code Error;
  // A response to HEAD has the header fields of the body but no body.
  if (Parser->is_header_done() && Parser->get().method() == http::verb::head)
    std::tie(Error, std::ignore) =
        co_await http::async_write_header(Stream, Serializer, UseTaskTuple);
  else
    std::tie(Error, std::ignore) =
        co_await http::async_write(Stream, Serializer, UseTaskTuple);
  if (Error)
    recordUnanswered({.Cause = Refusal ? unanswered_cause::RefusalUndelivered
                                       : unanswered_cause::ResponseUndelivered,
                      .Error = Error});
  co_return !Error && Keep;
}

} // namespace peridot
