#include "protocol/membership_messages/heartbeat_codec.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct heartbeat_fixture {
  heartbeat Full{.Leaving = true,
                 .Revision = {7},
                 .SilentLinkReports = {{vm_name("vm-1"), vm_name("vm-2"), 9,
                                        std::chrono::milliseconds(1'500)}},
                 .LeavingVms = {{vm_name("vm-3"), {4}}}};
};

} // namespace

TEST_CASE_FIXTURE(heartbeat_fixture,
                  "decodeHeartbeat_encodedHeartbeat_roundTrips") {
  CHECK(decodeHeartbeat(encodeHeartbeat(Full)).value() == Full);
  CHECK(decodeHeartbeat(encodeHeartbeat({})).value() == heartbeat{});
}

TEST_CASE_FIXTURE(heartbeat_fixture, "decodeHeartbeat_truncatedBytes_fails") {
  const auto Bytes = encodeHeartbeat(Full);
  for (std::size_t Size = 0; Size < Bytes.size() / 2; ++Size)
    CHECK_FALSE(decodeHeartbeat(std::span(Bytes).first(Size)));
}
