#include "transport/runtime/dead_peer_detection.h"

#include <netinet/tcp.h>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/// A socket that is not connected; the kernel keeps its options.
struct dead_peer_detection_fixture {
  dead_peer_detection_fixture() { Socket.open(boost::asio::ip::tcp::v4()); }

  int option(int Level, int Name) {
    int Value = 0;
    socklen_t Size = sizeof(Value);
    ::getsockopt(Socket.native_handle(), Level, Name, &Value, &Size);
    return Value;
  }

  boost::asio::io_context Loop;
  tcp_socket Socket{Loop};
};

} // namespace

// Guards against links that stay silent after a cut of the network has ended,
// because TCP resends at intervals that have grown to many seconds.
TEST_CASE_FIXTURE(
    dead_peer_detection_fixture,
    "enableDeadPeerDetection_unacknowledgedLimit_appliedByKernel") {
  enableDeadPeerDetection(Socket, {.Unacknowledged = 1500ms});
  CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 1500);
  CHECK(option(SOL_SOCKET, SO_KEEPALIVE) == 0);
}

TEST_CASE_FIXTURE(dead_peer_detection_fixture,
                  "enableDeadPeerDetection_probeInterval_probesEnabled") {
  enableDeadPeerDetection(
      Socket, {.Unacknowledged = 3s, .ProbeInterval = 1s, .Probes = 2});
  CHECK(option(SOL_SOCKET, SO_KEEPALIVE) != 0);
  CHECK(option(IPPROTO_TCP, TCP_KEEPIDLE) == 1);
  CHECK(option(IPPROTO_TCP, TCP_KEEPINTVL) == 1);
  CHECK(option(IPPROTO_TCP, TCP_KEEPCNT) == 2);
}
