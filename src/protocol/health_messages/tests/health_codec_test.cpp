#include "protocol/health_messages/health_codec.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct health_codec_fixture {
  const service_name Service{"hive"};

  void checkRoundTrip(const health_message &Message) {
    const auto Decoded = decodeHealthMessage(encodeHealthMessage(Message));
    REQUIRE(Decoded);
    CHECK(*Decoded == Message);
  }
};

} // namespace

TEST_CASE_FIXTURE(health_codec_fixture,
                  "decodeHealthMessage_encodedMessage_roundTrips") {
  checkRoundTrip(service_report{
      .Service = Service,
      .Period = 500ms,
      .Requests = 70'000,
      .Held = {.Epoch = {3}, .Number = 4},
      .Targets = {{.Target = {9}, .Requests = 8, .Failures = 2, .Slow = 1}}});
  checkRoundTrip(service_verdicts{
      .Service = Service,
      .Version = {.Epoch = {3}, .Number = 4},
      .Targets = {{.Target = target_name("hive-1"),
                   .State = verdict_state::Ejected,
                   .Relapses = 2},
                  {.Target = target_name("hive-2"),
                   .AvoidedIn = {data_center_name("lakes-a")}}}});
  checkRoundTrip(drain_notice{.Service = Service, .Target = {7}});
  checkRoundTrip(verdict_query{Service});
}

TEST_CASE_FIXTURE(health_codec_fixture,
                  "decodeHealthMessage_truncatedOrUnknownState_fails") {
  const auto Encoded = encodeHealthMessage(verdict_query{Service});
  for (std::size_t Size = 0; Size < Encoded.size() / 2; ++Size)
    CHECK_FALSE(decodeHealthMessage(bytes_view(Encoded).first(Size)));
  service_verdicts Unknown{.Service = Service,
                           .Targets = {{.Target = target_name("hive-1")}}};
  Unknown.Targets[0].State = static_cast<verdict_state>(200);
  CHECK_FALSE(decodeHealthMessage(encodeHealthMessage(Unknown)));
}
