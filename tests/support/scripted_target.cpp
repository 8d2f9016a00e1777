#include "support/scripted_target.h"

#include <atomic>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace peridot::test {

namespace asio = boost::asio;
using asio::ip::tcp;

struct scripted_connection::impl {
  explicit impl(tcp::socket Accepted) : Socket(std::move(Accepted)) {}

  /// Reads available bytes; false at the end of the connection or an error.
  bool readSome() {
    char Chunk[4096];
    boost::system::error_code Error;
    const std::size_t Size = Socket.read_some(asio::buffer(Chunk), Error);
    Received.append(Chunk, Size);
    return !Error;
  }

  /// Shuts down both directions, so that a blocked read returns.
  void shutDown() { ::shutdown(Socket.native_handle(), SHUT_RDWR); }

  tcp::socket Socket;
  std::string Received;
};

bool scripted_connection::readUntil(const std::string &Text) {
  while (Impl.Received.find(Text) == std::string::npos)
    if (!Impl.readSome())
      return false;
  return true;
}

void scripted_connection::readToEnd() {
  while (Impl.readSome()) {
  }
}

bool scripted_connection::send(const std::string &Bytes) {
  boost::system::error_code Error;
  asio::write(Impl.Socket, asio::buffer(Bytes), Error);
  return !Error;
}

void scripted_connection::endSending() {
  ::shutdown(Impl.Socket.native_handle(), SHUT_WR);
}

void scripted_connection::reset() {
  boost::system::error_code Ignored;
  Impl.Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Impl.Socket.close(Ignored);
}

const std::string &scripted_connection::received() const {
  return Impl.Received;
}

struct scripted_target::impl {
  explicit impl(script Chosen) : Script(std::move(Chosen)) {}

  void serve() {
    while (!IsStopping) {
      boost::system::error_code Error;
      tcp::socket Socket = Acceptor.accept(Error);
      if (Error || IsStopping)
        continue;
      auto &Accepted = Connections.emplace_back(
          std::make_unique<scripted_connection::impl>(std::move(Socket)));
      Threads.emplace_back([this, &Impl = *Accepted] {
        scripted_connection Connection(Impl);
        Script(Connection);
        Impl.shutDown();
      });
    }
  }

  void finish() {
    for (const auto &Each : Connections)
      Each->shutDown();
    for (std::thread &Each : Threads)
      Each.join();
  }

  asio::io_context Loop;
  tcp::acceptor Acceptor{Loop, {asio::ip::make_address("127.0.0.1"), 0}};
  script Script;
  std::atomic<bool> IsStopping{false};
  /// Used by the accepting thread and, once that has ended, by finish().
  std::vector<std::unique_ptr<scripted_connection::impl>> Connections;
  std::vector<std::thread> Threads;
  std::thread Thread;
};

scripted_target::scripted_target(script Script)
    : Impl(std::make_unique<impl>(std::move(Script))) {
  Impl->Thread = std::thread([this] { Impl->serve(); });
}

scripted_target::~scripted_target() {
  Impl->IsStopping = true;
  // This connection unblocks the accepting thread.
  asio::io_context Loop;
  tcp::socket Waker(Loop);
  boost::system::error_code Ignored;
  Waker.connect(Impl->Acceptor.local_endpoint(), Ignored);
  Impl->Thread.join();
  Impl->finish();
}

std::uint16_t scripted_target::port() const {
  return Impl->Acceptor.local_endpoint().port();
}

} // namespace peridot::test
