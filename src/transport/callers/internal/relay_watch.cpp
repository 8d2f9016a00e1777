#include "transport/callers/internal/relay_watch.h"

#include <utility>

namespace peridot {

namespace {

/// True if the other end has closed its side and sent nothing more.
bool isAtEnd(tcp_stream &Stream) {
  char Byte = 0;
  const auto Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace

/// Calls \p Handle unless the wait failed or the watch was disarmed since.
template <typename Handler> auto relay_watch::guard(Handler Handle) {
  return [Self = shared_from_this(), Armed = Generation,
          Handle](const boost::system::error_code &Error) {
    if (!Error && Armed == Self->Generation)
      Handle(*Self);
  };
}

void relay_watch::closeWhenCallerLeaves(tcp_stream &Chosen) {
  Target = &Chosen;
  WaitsForCaller = true;
  Caller.socket().async_wait(tcp_socket::wait_read,
                             guard([](relay_watch &Self) {
                               Self.CallerLeft = isAtEnd(Self.Caller);
                               if (Self.CallerLeft)
                                 Self.Target->close();
                             }));
}

void relay_watch::cancelWhenTargetAnswers(tcp_stream &Chosen) {
  Target = &Chosen;
  WaitsForTarget = true;
  Target->socket().async_wait(tcp_socket::wait_read,
                              guard([](relay_watch &Self) {
                                Self.TargetAnswered = true;
                                Self.Caller.cancel();
                                Self.Target->cancel();
                              }));
}

void relay_watch::cancelAt(std::chrono::steady_clock::time_point Deadline) {
  WaitsForDeadline = true;
  Timer.expires_at(Deadline);
  Timer.async_wait(guard([](relay_watch &Self) {
    Self.DeadlinePassed = true;
    Self.Caller.cancel();
    if (Self.Target)
      Self.Target->cancel();
  }));
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
  CallerLeft = false;
  TargetAnswered = false;
  DeadlinePassed = false;
}

} // namespace peridot
