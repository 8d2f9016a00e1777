#include "support/full_listener.h"

#include <cerrno>
#include <stdexcept>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace peridot::test {

namespace {

/// Connections opened to fill the accept queue, more than it holds.
constexpr int QueuedConnections = 4;

int openSocket() {
  const int Socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (Socket < 0)
    throw std::runtime_error("cannot create a socket");
  return Socket;
}

} // namespace

full_listener::full_listener() {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto *GenericAddress = reinterpret_cast<sockaddr *>(&Address);
  socklen_t Size = sizeof(Address);
  Sockets.push_back(openSocket());
  if (bind(Sockets.front(), GenericAddress, Size) != 0 ||
      listen(Sockets.front(), 0) != 0 ||
      getsockname(Sockets.front(), GenericAddress, &Size) != 0)
    throw std::runtime_error("cannot listen on 127.0.0.1");
  Port = ntohs(Address.sin_port);
  for (int Count = 0; Count < QueuedConnections; ++Count) {
    Sockets.push_back(openSocket());
    if (connect(Sockets.back(), GenericAddress, Size) != 0 &&
        errno != EINPROGRESS)
      throw std::runtime_error("cannot fill the accept queue on 127.0.0.1");
  }
}

full_listener::~full_listener() {
  for (const int Socket : Sockets)
    close(Socket);
}

} // namespace peridot::test
