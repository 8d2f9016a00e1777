#include "transport/runtime/listener.h"

#include <boost/asio/steady_timer.hpp>

namespace peridot {

namespace asio = boost::asio;

namespace {

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

/// Delay after a failed accept, so that the thread does not spin.
constexpr std::chrono::milliseconds AcceptRetryDelay{50};

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

} // namespace peridot
