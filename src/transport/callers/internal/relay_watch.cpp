#include "transport/callers/internal/relay_watch.h"

#include <algorithm>
#include <utility>

#include "state/base/types/overloaded.h"
#include "transport/callers/internal/connection_state.h"

namespace peridot {

namespace {

/// Sends an interim response, which any client that is still there ignores.
void probe(tcp_stream &Stream) {
  constexpr std::string_view Interim = "HTTP/1.1 100 Continue\r\n\r\n";
  ::send(Stream.socket().native_handle(), Interim.data(), Interim.size(),
         MSG_DONTWAIT | MSG_NOSIGNAL);
}

} // namespace

/// Wraps \p Handle so that it is skipped if the wait failed or the watch was
/// disarmed in the meantime.
template <typename Handler> auto relay_watch::guard(Handler Handle) {
  return [Self = shared_from_this(), Armed = Generation,
          Handle](const boost::system::error_code &Error) {
    if (!Error && Armed == Self->Generation)
      Handle(*Self);
  };
}

void relay_watch::closeWhenCallerDisconnects(tcp_stream &Chosen,
                                             const caller_close &Request) {
  Target = &Chosen;
  CallerClose = Request;
  WaitsForCaller = true;
  Caller.socket().async_wait(
      tcp_socket::wait_read,
      guard([](relay_watch &Self) { Self.handleCallerEvent(); }));
}

void relay_watch::handleCallerEvent() {
  CallerClose.IsReset = isReset(Caller);
  // Bytes of a further request hide the end of the sending side.
  if (!CallerClose.IsReset && !hasSendingEnded(Caller))
    return awaitCallerReset();
  std::visit(overloaded{[&](const cancel_attempt &) { closeTarget(); },
                        [&](const finish_attempt &Finish) {
                          if (Finish.ShouldProbe)
                            probe(Caller);
                          awaitCallerReset();
                        }},
             decideCallerClose(CallerClose));
}

void relay_watch::awaitCallerReset() {
  Caller.socket().async_wait(tcp_socket::wait_error,
                             guard([](relay_watch &Self) {
                               if (isReset(Self.Caller))
                                 Self.closeTarget();
                             }));
}

void relay_watch::closeTarget() {
  CallerDisconnected = true;
  Target->close();
}

void relay_watch::cancelWhenTargetResponds(tcp_stream &Chosen) {
  Target = &Chosen;
  WaitsForTarget = true;
  Target->socket().async_wait(tcp_socket::wait_read,
                              guard([](relay_watch &Self) {
                                Self.TargetResponded = true;
                                Self.Caller.cancel();
                                Self.Target->cancel();
                              }));
}

void relay_watch::cancelAt(std::chrono::steady_clock::time_point Time) {
  WaitsForDeadline = true;
  Deadline = Time;
  startTimer();
}

void relay_watch::startTimer() {
  const auto AwaitedFrom =
      AwaitedSince.value_or(std::chrono::steady_clock::now());
  Timer.expires_at(std::min(Deadline, AwaitedFrom + MaxCallerIdleTime));
  Timer.async_wait(guard([](relay_watch &Self) { Self.handleTimer(); }));
}

void relay_watch::handleTimer() {
  const auto Now = std::chrono::steady_clock::now();
  CallerStalled = AwaitedSince && Now >= *AwaitedSince + MaxCallerIdleTime;
  if (CallerStalled || Now >= Deadline)
    cancelNow();
  else
    startTimer();
}

void relay_watch::cancelNow() {
  if (!WaitsForDeadline)
    return;
  DeadlinePassed = true;
  Caller.cancel();
  if (Target)
    Target->cancel();
}

void relay_watch::disarm() {
  ++Generation;
  boost::system::error_code Ignored;
  if (std::exchange(WaitsForCaller, false))
    Caller.socket().cancel(Ignored);
  if (std::exchange(WaitsForTarget, false) && Target->socket().is_open())
    Target->socket().cancel(Ignored);
  if (std::exchange(WaitsForDeadline, false))
    Timer.cancel();
  Target = nullptr;
  CallerDisconnected = false;
  TargetResponded = false;
  DeadlinePassed = false;
  CallerStalled = false;
  AwaitedSince.reset();
}

} // namespace peridot
