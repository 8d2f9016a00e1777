#include "transport/peers/internal/peer_link.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "state/metrics/series_label.h"
#include "transport/runtime/dead_peer_detection.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds InitialBackOff{100};
constexpr unsigned MaxBackOffDoublings = 4;
/// A link on which a frame cannot be written within this time is abandoned and
/// dialed again for the next message.
constexpr std::chrono::seconds WriteTimeout{5};
/// Messages are only useful while they are recent, so a link that the network
/// has lost track of is dialed again soon. Leaves time for TCP to resend a lost
/// segment three times.
constexpr dead_peer_limits DeadPeerLimits{.Unacknowledged =
                                              std::chrono::milliseconds(1'500)};

std::string subjectLabel(frame_subject Subject) {
  return seriesLabel("subject", nameOf(Subject));
}

} // namespace

peer_link::peer_link(asio::io_context &Loop, const peer_options &Options,
                     peer_address Peer, metrics_registry &Metrics)
    : Loop(Loop), Options(Options), Address(std::move(Peer)), Metrics(Metrics),
      WakeTimer(Loop) {}

void peer_link::send(frame_subject Subject, bytes_view Body) {
  if (IsClosed)
    return;
  if (Queue.size() == Options.MaxQueuedMessages) {
    Queue.pop_front();
    Metrics
        .getOrCreateCounter("peridot_peer_dropped_total", subjectLabel(Subject))
        .add();
  }
  Queue.push_back({Subject, {Body.begin(), Body.end()}});
  WakeTimer.cancel();
  if (!IsRunning) {
    IsRunning = true;
    asio::co_spawn(Loop, run(shared_from_this()), asio::detached);
  }
}

void peer_link::close() {
  IsClosed = true;
  WakeTimer.cancel();
  boost::system::error_code Ignored;
  if (Stream)
    Stream->socket().close(Ignored);
}

task<void> peer_link::run(std::shared_ptr<peer_link> Self) {
  while (!Self->IsClosed && !Self->Queue.empty()) {
    auto Encoder = co_await Self->dial();
    if (Encoder) {
      Self->DialFailures = 0;
      co_await Self->sendQueued(*Encoder);
    } else {
      co_await Self->backOff();
    }
  }
  Self->IsRunning = false;
}

task<std::optional<frame_encoder>> peer_link::dial() {
  Stream.emplace(Loop.get_executor());
  Stream->expires_after(Options.DialTimeout);
  auto [ConnectError] =
      co_await Stream->async_connect(Address.Endpoint, UseTaskTuple);
  if (ConnectError || IsClosed)
    co_return std::nullopt;
  boost::system::error_code Ignored;
  Stream->socket().set_option(asio::ip::tcp::no_delay(true), Ignored);
  enableDeadPeerDetection(Stream->socket(), DeadPeerLimits);
  link_challenge Challenge{};
  auto [ReadError, Read] =
      co_await asio::async_read(*Stream, asio::buffer(Challenge), UseTaskTuple);
  if (ReadError || IsClosed)
    co_return std::nullopt;
  const std::vector<std::byte> Hello =
      encodeHello(Options.Self, Options.FleetKey, Challenge);
  auto [WriteError, Written] =
      co_await asio::async_write(*Stream, asio::buffer(Hello), UseTaskTuple);
  if (WriteError || IsClosed)
    co_return std::nullopt;
  co_return frame_encoder(
      deriveSessionKey(Options.FleetKey, Challenge, Options.Self));
}

task<void> peer_link::sendQueued(frame_encoder Encoder) {
  while (!IsClosed) {
    if (Queue.empty()) {
      WakeTimer.expires_after(Options.IdleLimit);
      co_await WakeTimer.async_wait(UseTaskTuple);
      if (Queue.empty())
        co_return;
    }
    const queued_message Message = std::move(Queue.front());
    Queue.pop_front();
    const std::vector<std::byte> Frame =
        Encoder.encode(Message.Subject, Message.Body);
    Stream->expires_after(WriteTimeout);
    auto [Error, Written] =
        co_await asio::async_write(*Stream, asio::buffer(Frame), UseTaskTuple);
    if (Error)
      co_return;
    Metrics
        .getOrCreateCounter("peridot_peer_sent_bytes_total",
                            subjectLabel(Message.Subject))
        .add(Frame.size());
  }
}

task<void> peer_link::backOff() {
  const unsigned Doublings = std::min(DialFailures, MaxBackOffDoublings);
  ++DialFailures;
  const auto Until =
      std::chrono::steady_clock::now() + InitialBackOff * (1U << Doublings);
  // send() cancels the timer; wait again until the back-off has elapsed.
  while (!IsClosed && std::chrono::steady_clock::now() < Until) {
    WakeTimer.expires_at(Until);
    co_await WakeTimer.async_wait(UseTaskTuple);
  }
}

} // namespace peridot
