/// \file
/// Baseline for measurements: copies bytes between each caller's connection and
/// a target connection of its own, without parsing HTTP.

#include <iostream>
#include <memory>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gflags/gflags.h>

#include "transport/runtime/asio_types.h"

DEFINE_int32(port, 0, "Port to listen on; 0: any free port");
DEFINE_int32(target_port, 0, "Port of the target on 127.0.0.1");

namespace peridot::measure {

namespace asio = boost::asio;

constexpr std::size_t BufferBytes = 32U << 10U;

/// The two connections of a relay, kept open while either direction runs.
struct relay_pair {
  relay_pair(tcp_stream Caller, tcp_stream Target)
      : Caller(std::move(Caller)), Target(std::move(Target)) {}
  tcp_stream Caller;
  tcp_stream Target;
};

/// \param Lifetime keeps both connections alive.
task<void> copyBytes([[maybe_unused]] std::shared_ptr<relay_pair> Lifetime,
                     tcp_stream *From, tcp_stream *To) {
  const auto Buffer = std::make_unique<std::array<char, BufferBytes>>();
  while (true) {
    auto [ReadError, Size] =
        co_await From->async_read_some(asio::buffer(*Buffer), UseTaskTuple);
    if (ReadError)
      break;
    const auto Bytes = asio::buffer(*Buffer, Size);
    auto [WriteError, Written] =
        co_await asio::async_write(*To, Bytes, UseTaskTuple);
    if (WriteError)
      break;
  }
  boost::system::error_code Ignored;
  To->socket().shutdown(tcp_socket::shutdown_send, Ignored);
}

task<void> serve(asio::io_context &Loop, tcp_stream Caller) {
  tcp_stream Target(Loop.get_executor());
  const asio::ip::tcp::endpoint Endpoint(
      asio::ip::make_address("127.0.0.1"),
      static_cast<std::uint16_t>(FLAGS_target_port));
  auto [Error] = co_await Target.async_connect(Endpoint, UseTaskTuple);
  if (Error)
    co_return;
  Target.socket().set_option(asio::ip::tcp::no_delay(true), Error);
  const auto Pair =
      std::make_shared<relay_pair>(std::move(Caller), std::move(Target));
  asio::co_spawn(Loop, copyBytes(Pair, &Pair->Caller, &Pair->Target),
                 asio::detached);
  co_await copyBytes(Pair, &Pair->Target, &Pair->Caller);
}

task<void> acceptAll(asio::io_context &Loop, tcp_acceptor Acceptor) {
  while (true) {
    auto [Error, Socket] = co_await Acceptor.async_accept(UseTaskTuple);
    if (Error)
      continue;
    Socket.set_option(asio::ip::tcp::no_delay(true), Error);
    asio::co_spawn(Loop, serve(Loop, tcp_stream(std::move(Socket))),
                   asio::detached);
  }
}

} // namespace peridot::measure

int main(int Argc, char **Argv) {
  using namespace peridot::measure;
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Loop(1);
  peridot::tcp_acceptor Acceptor(
      Loop, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"),
                                    static_cast<std::uint16_t>(FLAGS_port)));
  std::cerr << R"({"event":"listening","port":)"
            << Acceptor.local_endpoint().port() << "}" << std::endl;
  asio::co_spawn(Loop, acceptAll(Loop, std::move(Acceptor)), asio::detached);
  Loop.run();
}
