#include "transport/callers/internal/relay_watch.h"

#include <utility>

namespace peridot {

namespace {

/// Whether the peer has closed the connection and no bytes are left to read.
bool isClosedByPeer(tcp_stream &Stream) {
  char Byte = 0;
  const auto Count = ::recv(Stream.socket().native_handle(), &Byte, 1,
                            MSG_PEEK | MSG_DONTWAIT);
  return Count == 0 || (Count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
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

void relay_watch::closeWhenCallerDisconnects(tcp_stream &Chosen) {
  Target = &Chosen;
  WaitsForCaller = true;
  Caller.socket().async_wait(
      tcp_socket::wait_read, guard([](relay_watch &Self) {
        Self.CallerDisconnected = isClosedByPeer(Self.Caller);
        if (Self.CallerDisconnected)
          Self.Target->close();
      }));
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
  CallerDisconnected = false;
  TargetResponded = false;
  DeadlinePassed = false;
}

} // namespace peridot
