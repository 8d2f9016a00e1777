#include "transport/peers/peer_hub.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <openssl/rand.h>

#include "state/metrics/series_label.h"
#include "transport/logging/event_log.h"
#include "transport/peers/internal/peer_link.h"
#include "transport/runtime/listener.h"

namespace peridot {

namespace asio = boost::asio;

namespace {

constexpr std::size_t MaxHelloBytes = 1024;
constexpr std::size_t ReceiveBufferBytes = 4096;
constexpr std::chrono::seconds HelloTimeout{5};

link_challenge randomChallenge() {
  link_challenge Challenge{};
  RAND_bytes(reinterpret_cast<unsigned char *>(Challenge.data()),
             static_cast<int>(Challenge.size()));
  return Challenge;
}

std::size_t decodeHelloLength(std::span<const std::byte, 4> Prefix) {
  std::size_t Length = 0;
  for (std::size_t Index = 0; Index < Prefix.size(); ++Index)
    Length |= std::to_integer<std::size_t>(Prefix[Index]) << (8 * Index);
  return Length;
}

} // namespace

peer_hub::peer_hub(asio::io_context &Loop, peer_options InitialOptions,
                   metrics_registry &Metrics)
    : Loop(Loop), Options(std::move(InitialOptions)), Metrics(Metrics),
      Acceptor(Loop) {}

peer_hub::~peer_hub() {
  for (auto &[Vm, Link] : Links)
    Link->close();
}

result<std::uint16_t> peer_hub::listen() {
  return openListener(Acceptor, {.Endpoint = Options.Listen,
                                 .Purpose = "the peer port",
                                 .PortFlag = "peer_port"});
}

void peer_hub::start() { asio::co_spawn(Loop, acceptLinks(), asio::detached); }

void peer_hub::setPeers(std::span<const peer_address> Peers) {
  std::unordered_map<vm_name, peer_address> NewAddresses;
  for (const peer_address &Peer : Peers)
    if (Peer.Vm != Options.Self.Sender.Vm)
      NewAddresses.emplace(Peer.Vm, Peer);
  std::erase_if(Links, [&](const auto &Entry) {
    const auto Found = NewAddresses.find(Entry.first);
    const bool IsUnchanged =
        Found != NewAddresses.end() &&
        Found->second.Endpoint == Addresses.at(Entry.first).Endpoint;
    if (!IsUnchanged)
      Entry.second->close();
    return !IsUnchanged;
  });
  Addresses = std::move(NewAddresses);
}

void peer_hub::subscribe(frame_subject Subject, handler Handler) {
  Handlers[Subject] = std::move(Handler);
}

void peer_hub::send(const vm_name &Peer, frame_subject Subject,
                    bytes_view Body) {
  const auto Address = Addresses.find(Peer);
  // Without the key, peers would refuse the link.
  if (Address == Addresses.end() || Options.FleetKey.empty())
    return;
  // The peer would close the link, with all that is on its way.
  if (Body.size() > MaxFrameBodyBytes) {
    Metrics
        .getOrCreateCounter("peridot_peer_oversized_total",
                            seriesLabel("subject", nameOf(Subject)))
        .add();
    logEvent(log_level::Warning, "peer-message-too-large",
             {{"subject", nameOf(Subject)},
              {"bytes", static_cast<std::int64_t>(Body.size())}});
    return;
  }
  auto &Link = Links[Peer];
  if (!Link)
    Link = std::make_shared<peer_link>(Loop, Options, Address->second, Metrics);
  Link->send(Subject, Body);
}

task<void> peer_hub::acceptLinks() {
  while (Acceptor.is_open()) {
    auto Socket = co_await acceptConnection(Acceptor);
    if (Socket)
      asio::co_spawn(Loop, receiveFrames(tcp_stream(std::move(*Socket))),
                     asio::detached);
  }
}

task<void> peer_hub::receiveFrames(tcp_stream Stream) {
  const link_challenge Challenge = randomChallenge();
  const result<peer_hello> Sender = co_await receiveHello(Stream, Challenge);
  if (!Sender) {
    Metrics.getOrCreateCounter("peridot_peer_refused_total").add();
    logError("peer-refused", Sender.error());
    co_return;
  }
  frame_decoder Decoder(deriveSessionKey(Options.FleetKey, Challenge, *Sender));
  std::array<std::byte, ReceiveBufferBytes> Buffer{};
  while (true) {
    Stream.expires_after(Options.IdleLimit * 2);
    auto [Error, Size] =
        co_await Stream.async_read_some(asio::buffer(Buffer), UseTaskTuple);
    if (Error)
      co_return;
    Decoder.feed(bytes_view(Buffer).first(Size));
    const auto Frames = Decoder.takeFrames();
    if (!Frames) {
      Metrics.getOrCreateCounter("peridot_peer_refused_total").add();
      logError("peer-refused", Frames.error());
      co_return;
    }
    for (const peer_frame &Frame : *Frames)
      if (!tryDeliver(*Sender, Frame))
        co_return;
  }
}

task<result<peer_hello>>
peer_hub::receiveHello(tcp_stream &Stream, const link_challenge &Challenge) {
  const auto ConnectionFailure = [](const boost::system::error_code &Error) {
    return fail(error_kind::Unavailable,
                "a peer connection failed before its hello was received: " +
                    Error.message(),
                "check the network path between the VMs");
  };
  Stream.expires_after(HelloTimeout);
  auto [WriteError, Written] =
      co_await asio::async_write(Stream, asio::buffer(Challenge), UseTaskTuple);
  if (WriteError)
    co_return ConnectionFailure(WriteError);
  std::array<std::byte, 4> Prefix{};
  auto [PrefixError, PrefixSize] =
      co_await asio::async_read(Stream, asio::buffer(Prefix), UseTaskTuple);
  if (PrefixError)
    co_return ConnectionFailure(PrefixError);
  const std::size_t Length = decodeHelloLength(Prefix);
  if (Length > MaxHelloBytes)
    co_return fail(error_kind::TooLarge, "a peer's hello is too large",
                   "check that the peer port is used by peridotport only");
  std::vector<std::byte> Body(Length);
  auto [BodyError, BodySize] =
      co_await asio::async_read(Stream, asio::buffer(Body), UseTaskTuple);
  if (BodyError)
    co_return ConnectionFailure(BodyError);
  co_return decodeHello(Body, Options.FleetKey, Challenge);
}

bool peer_hub::tryDeliver(const peer_hello &Sender, const peer_frame &Frame) {
  try {
    deliver(Sender, Frame);
    return true;
  } catch (const std::exception &Error) {
    Metrics.getOrCreateCounter("peridot_peer_refused_total").add();
    logEvent(log_level::Error, "peer-message-failed",
             {{"sender", Sender.Sender.Vm.view()},
              {"subject", nameOf(Frame.Subject)},
              {"cause", std::string_view(Error.what())}});
    return false;
  }
}

void peer_hub::deliver(const peer_hello &Sender, const peer_frame &Frame) {
  incarnation &NewestIncarnation = NewestIncarnations[Sender.Sender.Vm];
  if (Sender.Sender.Incarnation < NewestIncarnation) {
    Metrics.getOrCreateCounter("peridot_peer_stale_frames_total").add();
    return;
  }
  NewestIncarnation = Sender.Sender.Incarnation;
  Metrics
      .getOrCreateCounter("peridot_peer_received_bytes_total",
                          seriesLabel("subject", nameOf(Frame.Subject)))
      .add(Frame.Body.size() + FrameOverheadBytes);
  if (const auto Found = Handlers.find(Frame.Subject); Found != Handlers.end())
    Found->second(Sender, Frame.Body);
}

} // namespace peridot
