#include "transport/targets/target_pool.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct target_pool_fixture {
  target_pool_fixture() : Acceptor(Loop, {Loopback, 0}) {}

  /// Opens a connection whose other end is kept open.
  target_connection_ptr open() {
    tcp_stream Stream(Loop.get_executor());
    Stream.socket().connect(Acceptor.local_endpoint());
    OtherEnds.push_back(Acceptor.accept());
    return std::make_unique<target_connection>(std::move(Stream));
  }

  boost::asio::io_context Loop{1};
  boost::asio::ip::address Loopback =
      boost::asio::ip::make_address("127.0.0.1");
  tcp_acceptor Acceptor;
  std::vector<tcp_socket> OtherEnds;
  target Target{.Name = target_name("hive-1"), .MaxConnections = 2};
  target_pool Pool{{}};
};

} // namespace

TEST_CASE_FIXTURE(target_pool_fixture, "giveBack_aboveLimit_closed") {
  for (int Count = 0; Count < 3; ++Count) {
    const slot_guard Slot = Pool.occupySlot(Target.Name);
    Pool.giveBack(Target, open());
  }
  CHECK(Pool.takeIdle(Target.Name));
  CHECK(Pool.takeIdle(Target.Name));
  CHECK(!Pool.takeIdle(Target.Name));
}

TEST_CASE_FIXTURE(target_pool_fixture, "makeRoom_fullOfIdle_oneClosed") {
  for (int Count = 0; Count < 2; ++Count)
    Pool.giveBack(Target, open());
  const slot_guard Slot = Pool.occupySlot(Target.Name);
  Pool.makeRoom(Target);
  CHECK(Pool.takeIdle(Target.Name));
  CHECK(!Pool.takeIdle(Target.Name));
}

TEST_CASE_FIXTURE(target_pool_fixture, "takeIdle_otherEndClosed_notReturned") {
  Pool.giveBack(Target, open());
  OtherEnds.clear();
  CHECK(!Pool.takeIdle(Target.Name));
}

TEST_CASE_FIXTURE(target_pool_fixture, "note_silentGroup_suspectThenClosed") {
  target_connection_ptr Old = open();
  const instant OpenedAt = Old->OpenedAt;
  Pool.giveBack(Target, std::move(Old));
  Pool.note(Target.Name,
            connection_timed_out{.OpenedAt = OpenedAt, .Reused = true});
  CHECK(!Pool.takeIdle(Target.Name));
  const connection_answered Younger{.OpenedAt =
                                        OpenedAt + std::chrono::seconds(1)};
  CHECK(Pool.note(Target.Name, Younger) == 1);
}

TEST_CASE_FIXTURE(target_pool_fixture, "limitOf_share_smallerOfBoth") {
  CHECK(Pool.limitOf(Target) == 2);
  CHECK(target_pool({.ConnectionShare = 1}).limitOf(Target) == 1);
  CHECK(target_pool({.ConnectionShare = 9}).limitOf(Target) == 2);
}
