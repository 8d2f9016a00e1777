#include "transport/runtime/listener.h"

#include <array>

#include <boost/asio/steady_timer.hpp>
#include <linux/filter.h>

namespace peridot {

namespace asio = boost::asio;

namespace {

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Delay after a failed accept, so that the thread does not spin.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

/// Offset of the flags in a TCP header, and the flags that the first packet of
/// a connection is recognized by.
constexpr unsigned TcpFlagsOffset = 13;
constexpr unsigned TcpSyn = 0x02;
constexpr unsigned TcpAck = 0x10;
/// Results of a socket filter: the number of bytes of the packet to keep.
constexpr unsigned DropPacket = 0;
constexpr unsigned KeepPacket = 0xffff'ffff;

/// Drops packets with SYN and without ACK.
constexpr std::array<sock_filter, 5> ConnectRequestFilter{{
    BPF_STMT(BPF_LD | BPF_B | BPF_ABS, TcpFlagsOffset),
    BPF_STMT(BPF_ALU | BPF_AND | BPF_K, TcpSyn | TcpAck),
    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, TcpSyn, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, DropPacket),
    BPF_STMT(BPF_RET | BPF_K, KeepPacket),
}};

} // namespace

result<std::uint16_t> openListener(tcp_acceptor &Acceptor,
                                   const listener_options &Options) {
  boost::system::error_code Error;
  Acceptor.open(Options.Endpoint.protocol(), Error);
  if (!Error)
    Acceptor.set_option(asio::socket_base::reuse_address(true), Error);
  if (!Error && Options.ReusePort)
    Acceptor.set_option(reuse_port(true), Error);
  if (!Error)
    Acceptor.bind(Options.Endpoint, Error);
  if (!Error)
    Acceptor.listen(asio::socket_base::max_listen_connections, Error);
  if (Error)
    return fail(error_kind::Unavailable,
                std::string(Options.Purpose) +
                    " cannot be opened: " + Error.message(),
                "choose another --listen_address or --" +
                    std::string(Options.PortFlag));
  return Acceptor.local_endpoint().port();
}

task<std::optional<tcp_socket>> acceptConnection(tcp_acceptor &Acceptor) {
  auto [Error, Socket] = co_await Acceptor.async_accept(UseTaskTuple);
  if (!Error)
    co_return std::move(Socket);
  if (Acceptor.is_open()) {
    asio::steady_timer Delay(Acceptor.get_executor(), AcceptRetryDelay);
    co_await Delay.async_wait(UseTaskTuple);
  }
  co_return std::nullopt;
}

backlog_entry takeFromBacklog(tcp_acceptor &Acceptor) {
  boost::system::error_code Error;
  Acceptor.non_blocking(true, Error);
  tcp_socket Socket(Acceptor.get_executor());
  Acceptor.accept(Socket, Error);
  if (!Error)
    return Socket;
  if (Error == asio::error::would_block)
    return backlog_empty{};
  return backlog_blocked{};
}

bool ignoreConnectRequests(tcp_acceptor &Acceptor) {
  auto Filter = ConnectRequestFilter;
  const sock_fprog Program{.len = Filter.size(), .filter = Filter.data()};
  return setsockopt(Acceptor.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER,
                    &Program, sizeof(Program)) == 0;
}

} // namespace peridot
