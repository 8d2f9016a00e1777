#include "fault_proxy/fault_proxy.h"

#include <algorithm>
#include <array>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace peridot::test {

namespace asio = boost::asio;

namespace {

constexpr std::size_t ChunkBytes = 16 << 10;
constexpr std::chrono::milliseconds CutPollInterval{10};

} // namespace

struct fault_proxy::link {
  explicit link(tcp_socket Accepted)
      : Caller(std::move(Accepted)), Target(Caller.get_executor()) {}

  void close() {
    boost::system::error_code Ignored;
    Caller.close(Ignored);
    Target.close(Ignored);
  }

  tcp_socket Caller;
  tcp_socket Target;
  std::string Label;
  std::uint64_t Generation = 0;
  std::int64_t PassedForward = 0;
  std::int64_t PassedBackward = 0;
  std::weak_ptr<link> Partner; ///< Set if the two links swap responses.
};

fault_proxy::fault_proxy(asio::io_context &Loop,
                         fault_proxy_options ProxyOptions)
    : Loop(Loop), Options(std::move(ProxyOptions)),
      Acceptor(Loop, {asio::ip::make_address("127.0.0.1"), 0}),
      Random(Options.Seed) {}

void fault_proxy::start() { asio::co_spawn(Loop, acceptAll(), asio::detached); }

task<void> fault_proxy::acceptAll() {
  while (true) {
    auto [Error, Socket] = co_await Acceptor.async_accept(UseTaskTuple);
    if (Error)
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true), Error);
    auto Link = std::make_shared<link>(std::move(Socket));
    Link->Generation = Rules.generation();
    asio::co_spawn(Loop, connect(Link), asio::detached);
  }
}

task<void> fault_proxy::connect(link_ptr Link) {
  // While forward bytes are cut, the first packet of a connection is lost too.
  asio::steady_timer Timer(Loop);
  while (!Options.ReadsPeerLabels &&
         faultsOf(*Link, direction::Forward).IsCut) {
    Timer.expires_after(CutPollInterval);
    co_await Timer.async_wait(UseTaskTuple);
  }
  auto [Error] =
      co_await Link->Target.async_connect(Options.Target, UseTaskTuple);
  if (Error) {
    Link->close();
    co_return;
  }
  Link->Target.set_option(asio::ip::tcp::no_delay(true), Error);
  if (auto UnpairedPartner = UnpairedLink.lock();
      UnpairedPartner && Rules.faultsOf(Link->Label).SwapsResponses) {
    Link->Partner = UnpairedPartner;
    UnpairedPartner->Partner = Link;
    UnpairedLink.reset();
  } else {
    UnpairedLink = Link;
  }
  asio::co_spawn(Loop, pump(Link, direction::Forward), asio::detached);
  asio::co_spawn(Loop, pump(Link, direction::Backward), asio::detached);
}

task<void> fault_proxy::pump(link_ptr Link, direction Direction) {
  const bool Forward = Direction == direction::Forward;
  tcp_socket &From = Forward ? Link->Caller : Link->Target;
  std::int64_t &Passed = Forward ? Link->PassedForward : Link->PassedBackward;
  std::array<char, ChunkBytes> Chunk{};
  while (true) {
    auto [ReadError, Size] =
        co_await From.async_read_some(asio::buffer(Chunk), UseTaskTuple);
    if (ReadError)
      break;
    if (Forward && Passed == 0 && Options.ReadsPeerLabels)
      Link->Label = peerLabel({Chunk.data(), Size});
    if (!co_await awaitForwarding(*Link, Direction, Size))
      continue;
    const std::int64_t Limit = faultsOf(*Link, Direction).TruncateAt;
    std::size_t ForwardedSize = Size;
    if (Limit >= 0)
      ForwardedSize = static_cast<std::size_t>(std::clamp<std::int64_t>(
          Limit - Passed, 0, static_cast<std::int64_t>(Size)));
    const link_ptr Receiver = Forward ? Link : responseReceiver(Link);
    tcp_socket &To = Forward ? Receiver->Target : Receiver->Caller;
    auto [WriteError, Written] = co_await asio::async_write(
        To, asio::buffer(Chunk.data(), ForwardedSize), UseTaskTuple);
    Passed += static_cast<std::int64_t>(ForwardedSize);
    if (WriteError || ForwardedSize < Size)
      break;
  }
  // This target's response still has to reach the partner's caller.
  if (Forward && Rules.faultsOf(Link->Label).SwapsResponses)
    co_return;
  // A cut link, or one whose state was discarded, stays open without a reply.
  if (Link->Generation == Rules.generation() &&
      !faultsOf(*Link, Direction).IsCut)
    Link->close();
}

task<bool> fault_proxy::awaitForwarding(const link &Link, direction Direction,
                                        std::size_t Size) {
  const direction_faults Faults = faultsOf(Link, Direction);
  auto Wait = Faults.Delay;
  if (Faults.Jitter.count() > 0)
    Wait += std::chrono::milliseconds(
        Random() % static_cast<std::uint64_t>(Faults.Jitter.count() + 1));
  if (Faults.BytesPerSecond > 0)
    Wait += std::chrono::milliseconds(1000 * Size / Faults.BytesPerSecond);
  if (Wait.count() > 0) {
    asio::steady_timer Timer(Loop, Wait);
    co_await Timer.async_wait(UseTaskTuple);
  }
  co_return Link.Generation == Rules.generation() &&
      !faultsOf(Link, Direction).IsCut;
}

const direction_faults &fault_proxy::faultsOf(const link &Link,
                                              direction Direction) const {
  const link_faults &Faults = Rules.faultsOf(Link.Label);
  return Direction == direction::Forward ? Faults.Forward : Faults.Backward;
}

fault_proxy::link_ptr fault_proxy::responseReceiver(const link_ptr &Link) {
  if (const link_ptr Partner = Link->Partner.lock();
      Partner && Rules.faultsOf(Link->Label).SwapsResponses)
    return Partner;
  return Link;
}

} // namespace peridot::test
