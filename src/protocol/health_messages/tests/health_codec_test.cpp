#include "protocol/health_messages/health_codec.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct health_codec_fixture {
  const service_name Service{"hive"};

  void checkSameAfterwards(const health_message &Message) {
    const auto Decoded = decodeHealthMessage(encodeHealthMessage(Message));
    REQUIRE(Decoded);
    CHECK(*Decoded == Message);
  }
};

} // namespace

TEST_CASE_FIXTURE(health_codec_fixture, "decode_encodedMessages_same") {
  checkSameAfterwards(service_report{
      .Service = Service,
      .Period = 500ms,
      .Requests = 70'000,
      .Held = {.Epoch = {3}, .Number = 4},
      .Targets = {{.Target = {9}, .Requests = 8, .Failures = 2, .Slow = 1}}});
  checkSameAfterwards(service_verdicts{
      .Service = Service,
      .Version = {.Epoch = {3}, .Number = 4},
      .Targets = {{.Target = target_name("hive-1"),
                   .State = verdict_state::Ejected,
                   .Relapses = 2},
                  {.Target = target_name("hive-2"),
                   .AvoidedIn = {data_center_name("lakes-a")}}}});
  checkSameAfterwards(drain_notice{.Service = Service, .Target = {7}});
  checkSameAfterwards(verdict_query{Service});
}

TEST_CASE_FIXTURE(health_codec_fixture, "decode_damagedBytes_refused") {
  const auto Whole = encodeHealthMessage(verdict_query{Service});
  for (std::size_t Size = 0; Size < Whole.size() / 2; ++Size)
    CHECK_FALSE(decodeHealthMessage(bytes_view(Whole).first(Size)));
  service_verdicts Unknown{.Service = Service,
                           .Targets = {{.Target = target_name("hive-1")}}};
  Unknown.Targets[0].State = static_cast<verdict_state>(200);
  CHECK_FALSE(decodeHealthMessage(encodeHealthMessage(Unknown)));
}
