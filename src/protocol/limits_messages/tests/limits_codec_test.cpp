#include "protocol/limits_messages/limits_codec.h"

#include <limits>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct limits_codec_fixture {
  share_request_batch Requests{.Sequence = 7,
                               .SentAt = instant(std::chrono::seconds(3)),
                               .Requests = {{.Account = {11},
                                             .Pool = pool_kind::Reserve,
                                             .Epoch = {2},
                                             .ReleasedBelow = {5},
                                             .Demand = 1.5,
                                             .Level = 0.25,
                                             .Returned = 2}}};
  share_grant_batch Grants{.Holder = {99},
                           .RequestedAt = instant(std::chrono::seconds(3)),
                           .Grants = {{.Account = {11},
                                       .Epoch = {2},
                                       .Version = {6},
                                       .Rate = 8,
                                       .Burst = 4,
                                       .Tokens = 0.5,
                                       .LimitRate = 10,
                                       .LimitBurst = 5}}};
};

} // namespace

TEST_CASE_FIXTURE(limits_codec_fixture,
                  "decodeLimitsMessage_encodedBatch_roundTrips") {
  for (const limits_message &Message :
       {limits_message(Requests), limits_message(Grants)}) {
    const auto Decoded = decodeLimitsMessage(encodeLimitsMessage(Message));
    REQUIRE(Decoded);
    CHECK(*Decoded == Message);
  }
}

TEST_CASE_FIXTURE(limits_codec_fixture,
                  "decodeLimitsMessage_infiniteNumber_fails") {
  Grants.Grants[0].Tokens = std::numeric_limits<double>::infinity();
  CHECK(!decodeLimitsMessage(encodeLimitsMessage(Grants)));
}

TEST_CASE_FIXTURE(limits_codec_fixture,
                  "decodeLimitsMessage_truncatedBody_fails") {
  auto Body = encodeLimitsMessage(Requests);
  Body.resize(Body.size() / 2);
  CHECK(!decodeLimitsMessage(Body));
  CHECK(!decodeLimitsMessage({}));
}
