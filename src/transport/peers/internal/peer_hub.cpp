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
constexpr std::size_t ReceiveChunk = 4096;
constexpr std::chrono::seconds HelloTimeout{5};

link_challenge freshChallenge() {
  link_challenge Challenge{};
  RAND_bytes(reinterpret_cast<unsigned char *>(Challenge.data()),
             static_cast<int>(Challenge.size()));
  return Challenge;
}

std::size_t helloLength(std::span<const std::byte, 4> Prefix) {
  std::size_t Length = 0;
  for (std::size_t Index = 0; Index < Prefix.size(); ++Index)
    Length |= std::to_integer<std::size_t>(Prefix[Index]) << (8 * Index);
  return Length;
}

} // namespace

peer_hub::peer_hub(asio::io_context &Loop, peer_options Chosen,
                   metrics_registry &Metrics)
    : Loop(Loop), Options(std::move(Chosen)), Metrics(Metrics), Acceptor(Loop) {
}

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
  std::unordered_map<vm_name, peer_address> Known;
  for (const peer_address &Peer : Peers)
    if (Peer.Vm != Options.Self.Sender.Vm)
      Known.emplace(Peer.Vm, Peer);
  std::erase_if(Links, [&](const auto &Entry) {
    const auto Found = Known.find(Entry.first);
    const bool Same =
        Found != Known.end() &&
        Found->second.Endpoint == Addresses.at(Entry.first).Endpoint;
    if (!Same)
      Entry.second->close();
    return !Same;
  });
  Addresses = std::move(Known);
}

void peer_hub::subscribe(frame_subject Subject, handler Handler) {
  Handlers[Subject] = std::move(Handler);
}

void peer_hub::send(const vm_name &Peer, frame_subject Subject,
                    bytes_view Body) {
  const auto Address = Addresses.find(Peer);
  if (Address == Addresses.end())
    return;
  auto &Link = Links[Peer];
  if (!Link)
    Link = std::make_shared<peer_link>(Loop, Options, Address->second, Metrics);
  Link->send(Subject, Body);
}

task<void> peer_hub::acceptLinks() {
  while (Acceptor.is_open()) {
    auto Socket = co_await acceptNext(Acceptor);
    if (Socket)
      asio::co_spawn(Loop, receive(tcp_stream(std::move(*Socket))),
                     asio::detached);
  }
}

task<void> peer_hub::receive(tcp_stream Stream) {
  const link_challenge Challenge = freshChallenge();
  const result<peer_hello> Sender = co_await receiveHello(Stream, Challenge);
  if (!Sender) {
    Metrics.counterOf("peridot_peer_refused_total").add();
    logError("peer-refused", Sender.error());
    co_return;
  }
  frame_decoder Decoder(deriveSessionKey(Options.FleetKey, Challenge, *Sender));
  std::array<std::byte, ReceiveChunk> Chunk{};
  while (true) {
    Stream.expires_after(Options.IdleLimit * 2);
    auto [Error, Size] =
        co_await Stream.async_read_some(asio::buffer(Chunk), UseTaskTuple);
    if (Error)
      co_return;
    Decoder.feed(bytes_view(Chunk).first(Size));
    const auto Frames = Decoder.takeFrames();
    if (!Frames) {
      Metrics.counterOf("peridot_peer_refused_total").add();
      logError("peer-refused", Frames.error());
      co_return;
    }
    for (const peer_frame &Frame : *Frames)
      deliver(*Sender, Frame);
  }
}

task<result<peer_hello>>
peer_hub::receiveHello(tcp_stream &Stream, const link_challenge &Challenge) {
  const auto BrokenOff = [](const boost::system::error_code &Error) {
    return fail(error_kind::Unavailable,
                "a link broke off before its hello: " + Error.message(),
                "check the network path between the VMs");
  };
  Stream.expires_after(HelloTimeout);
  auto [WriteError, Written] =
      co_await asio::async_write(Stream, asio::buffer(Challenge), UseTaskTuple);
  if (WriteError)
    co_return BrokenOff(WriteError);
  std::array<std::byte, 4> Prefix{};
  auto [PrefixError, PrefixSize] =
      co_await asio::async_read(Stream, asio::buffer(Prefix), UseTaskTuple);
  if (PrefixError)
    co_return BrokenOff(PrefixError);
  const std::size_t Length = helloLength(Prefix);
  if (Length > MaxHelloBytes)
    co_return fail(error_kind::TooLarge, "a peer's hello is too large",
                   "check that the peer port is used by peridotport only");
  std::vector<std::byte> Body(Length);
  auto [BodyError, BodySize] =
      co_await asio::async_read(Stream, asio::buffer(Body), UseTaskTuple);
  if (BodyError)
    co_return BrokenOff(BodyError);
  co_return decodeHello(Body, Options.FleetKey, Challenge);
}

void peer_hub::deliver(const peer_hello &Sender, const peer_frame &Frame) {
  incarnation &Known = Newest[Sender.Sender.Vm];
  if (Sender.Sender.Incarnation < Known) {
    Metrics.counterOf("peridot_peer_stale_frames_total").add();
    return;
  }
  Known = Sender.Sender.Incarnation;
  Metrics
      .counterOf("peridot_peer_received_bytes_total",
                 seriesLabel("subject", nameOf(Frame.Subject)))
      .add(Frame.Body.size() + FrameOverhead);
  if (const auto Found = Handlers.find(Frame.Subject); Found != Handlers.end())
    Found->second(Sender, Frame.Body);
}

} // namespace peridot
