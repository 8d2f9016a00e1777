#include "transport/callers/internal/caller_session.h"

#include <algorithm>

#include <boost/beast/http.hpp>

#include "protocol/http/problem_details.h"
#include "state/base/types/overloaded.h"
#include "transport/callers/internal/request_relay.h"

namespace peridot {

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

std::string_view toStd(beast::string_view Text) {
  return {Text.data(), Text.size()};
}

beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

refusal headRefusal(const boost::system::error_code &Error) {
  if (Error == http::error::header_limit)
    return {.Kind = refusal_kind::HeadTooLarge,
            .Detail = "the request head is larger than the limit"};
  return {.Kind = refusal_kind::MalformedRequest, .Detail = Error.message()};
}

/// True for errors that the caller's bytes caused, which deserve an answer.
bool isParseError(const boost::system::error_code &Error) {
  return Error.category() ==
             http::make_error_code(http::error::bad_field).category() &&
         Error != http::error::end_of_stream &&
         Error != http::error::partial_message;
}

} // namespace

task<void> caller_session::serve(traffic_worker &Worker, tcp_stream Stream) {
  caller_session Session(Worker, std::move(Stream));
  try {
    co_await Session.run();
  } catch (const std::exception &Error) {
    Worker.metrics().counterOf("peridot_session_errors_total").add();
  }
  Worker.connectionClosed();
}

task<void> caller_session::run() {
  bool Open = true;
  while (Open && !Worker.shuttingDown()) {
    Open = co_await readHead();
    if (Open)
      Open = co_await serveRequest();
  }
  boost::system::error_code Ignored;
  Stream.socket().shutdown(tcp_socket::shutdown_send, Ignored);
}

task<bool> caller_session::readHead() {
  Parser.emplace();
  Parser->header_limit(Worker.options().Limits.MaxHeadBytes);
  Parser->body_limit(boost::none);
  Stream.expires_after(Worker.options().Limits.IdleTimeout);
  auto [Error, Size] =
      co_await http::async_read_header(Stream, Buffer, *Parser, UseTaskTuple);
  if (!Error)
    co_return true;
  if (isParseError(Error))
    co_await refuse(headRefusal(Error));
  co_return false;
}

task<bool> caller_session::serveRequest() {
  const auto &Request = Parser->get();
  const std::string_view Path = toStd(Request.target());
  if (Path.substr(0, Path.find('?')) == AddressesPath)
    co_return co_await answerAddresses();
  request_head Head{.Method = toStd(Request.method_string()), .Path = Path};
  if (const auto Key = Request.find(toBeast(KeyField)); Key != Request.end())
    Head.Key = toStd(Key->value());
  const snapshot_ptr Snapshot = Worker.snapshot();
  const admission Admission = decideAdmission(*Snapshot, Head);
  if (const auto *Refusal = std::get_if<refusal>(&Admission))
    co_return co_await refuse(*Refusal);
  co_return co_await forward(std::get<admitted_request>(Admission), Snapshot);
}

task<bool> caller_session::answerAddresses() {
  std::vector<vm_address> Preferred = Worker.snapshot()->Vms;
  std::stable_partition(Preferred.begin(), Preferred.end(),
                        [this](const vm_address &Vm) {
                          return Vm.DataCenter == Worker.options().DataCenter;
                        });
  co_return co_await sendText(
      200, "application/json",
      encodeAddresses(Preferred, Worker.options().AddressTimeToLive), nullptr);
}

task<bool> caller_session::forward(const admitted_request &Admitted,
                                   snapshot_ptr Snapshot) {
  if (Admitted.Account) {
    const rate_decision Rate = Worker.takeRate(*Admitted.Account);
    if (const auto *Refused = std::get_if<rate_refused>(&Rate)) {
      const refusal Refusal{.Kind = refusal_kind::RateExceeded,
                            .Detail = "account " +
                                      Admitted.Account->Name.str() +
                                      " is above its rate",
                            .RetryAfter = Refused->RetryAfter};
      co_return co_await refuse(Refusal);
    }
  }
  request_relay Relay(Worker, Stream, Buffer, *Parser);
  const relay_result Result = co_await Relay.run(Admitted, *Snapshot);
  if (Result.Refusal)
    co_return co_await refuse(*Result.Refusal);
  co_return Result.KeepCaller;
}

task<bool> caller_session::refuse(const refusal &Refusal) {
  Worker.metrics()
      .counterOf("peridot_refusals_total",
                 "kind=\"" + std::string(nameOf(Refusal.Kind)) + "\"")
      .add();
  co_return co_await sendText(statusOf(Refusal), "application/problem+json",
                              encodeProblem(Refusal), &Refusal);
}

task<bool> caller_session::sendText(unsigned Status, std::string ContentType,
                                    std::string Body, const refusal *Refusal) {
  // A request body that was not read stands between this answer and the next
  // request, so the connection ends unless there is none.
  const bool Keep = Parser->is_header_done() && Parser->is_done() &&
                    Parser->get().keep_alive() && !Worker.shuttingDown();
  http::response<http::string_body> Response(static_cast<http::status>(Status),
                                             11, std::move(Body));
  Response.set(http::field::content_type, ContentType);
  if (Refusal)
    Response.set(toBeast(OutcomeField), toBeast(nameOf(Refusal->Outcome)));
  if (Refusal && Refusal->RetryAfter.count() > 0)
    Response.set(http::field::retry_after,
                 std::to_string((Refusal->RetryAfter.count() + 999) / 1000));
  Response.keep_alive(Keep);
  Response.prepare_payload();
  Stream.expires_after(Worker.options().Limits.HeadTimeout);
  auto [Error, Written] =
      co_await http::async_write(Stream, Response, UseTaskTuple);
  co_return !Error && Keep;
}

} // namespace peridot
