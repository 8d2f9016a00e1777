#include "transport/targets/target_pool.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct target_pool_fixture {
  target_pool_fixture() : Acceptor(Loop, {Loopback, 0}) {}

  /// Opens a connection whose accepted end stays open.
  target_connection_ptr open() {
    tcp_stream Stream(Loop.get_executor());
    Stream.socket().connect(Acceptor.local_endpoint());
    AcceptedSockets.push_back(Acceptor.accept());
    return std::make_unique<target_connection>(std::move(Stream));
  }

  boost::asio::io_context Loop{1};
  boost::asio::ip::address Loopback =
      boost::asio::ip::make_address("127.0.0.1");
  tcp_acceptor Acceptor;
  std::vector<tcp_socket> AcceptedSockets;
  target Target{.Name = target_name("hive-1"), .MaxConnections = 2};
  target_pool Pool{{}};
};

} // namespace

TEST_CASE_FIXTURE(target_pool_fixture,
                  "returnConnection_aboveLimit_connectionClosed") {
  for (int Count = 0; Count < 3; ++Count) {
    const slot_guard Slot = Pool.occupySlot(Target.Name);
    Pool.returnConnection(Target, open());
  }
  CHECK(Pool.takeIdle(Target.Name));
  CHECK(Pool.takeIdle(Target.Name));
  CHECK(!Pool.takeIdle(Target.Name));
}

TEST_CASE_FIXTURE(target_pool_fixture,
                  "evictIdleIfFull_allConnectionsIdle_oneClosed") {
  for (int Count = 0; Count < 2; ++Count)
    Pool.returnConnection(Target, open());
  const slot_guard Slot = Pool.occupySlot(Target.Name);
  Pool.evictIdleIfFull(Target);
  CHECK(Pool.takeIdle(Target.Name));
  CHECK(!Pool.takeIdle(Target.Name));
}

TEST_CASE_FIXTURE(target_pool_fixture, "takeIdle_closedByPeer_notReturned") {
  Pool.returnConnection(Target, open());
  AcceptedSockets.clear();
  CHECK(!Pool.takeIdle(Target.Name));
}

TEST_CASE_FIXTURE(
    target_pool_fixture,
    "recordEvent_reusedTimesOutThenYoungerResponds_suspectThenClosed") {
  target_connection_ptr Old = open();
  const instant OpenedAt = Old->OpenedAt;
  Pool.returnConnection(Target, std::move(Old));
  Pool.recordEvent(Target.Name,
                   connection_timed_out{.OpenedAt = OpenedAt, .Reused = true});
  CHECK(!Pool.takeIdle(Target.Name));
  const connection_responded Younger{.OpenedAt =
                                         OpenedAt + std::chrono::seconds(1)};
  CHECK(Pool.recordEvent(Target.Name, Younger) == 1);
}

TEST_CASE_FIXTURE(target_pool_fixture,
                  "connectionLimitOf_threadAndTargetLimits_smallerOne") {
  CHECK(Pool.connectionLimitOf(Target) == 2);
  CHECK(target_pool({.MaxConnectionsPerTarget = 1}).connectionLimitOf(Target) ==
        1);
  CHECK(target_pool({.MaxConnectionsPerTarget = 9}).connectionLimitOf(Target) ==
        2);
}
