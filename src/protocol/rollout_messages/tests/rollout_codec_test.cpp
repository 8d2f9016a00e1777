#include "protocol/rollout_messages/rollout_codec.h"

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct rollout_codec_fixture {
  std::vector<rollout_message> Messages{
      rollout_request{7, {3}},
      rollout_response{8,
                       {4},
                       {{{9}, platform_state::Confirmed, {4}, 20ms},
                        {{10}, platform_state::Unreachable, {3}, 1s}}},
      manifest_request{},
      manifest_response{"{}"},
      documents_request{{"a", "b"}},
      document_response{"a", "text"}};
};

} // namespace

TEST_CASE_FIXTURE(rollout_codec_fixture,
                  "decodeRolloutMessage_encodedMessage_roundTrips") {
  for (const rollout_message &Message : Messages) {
    const auto Decoded = decodeRolloutMessage(encodeRolloutMessage(Message));
    REQUIRE(Decoded);
    CHECK(*Decoded == Message);
  }
}

TEST_CASE_FIXTURE(rollout_codec_fixture,
                  "decodeRolloutMessage_truncatedBytes_fails") {
  for (const rollout_message &Message : Messages) {
    const auto Bytes = encodeRolloutMessage(Message);
    for (std::size_t Size = 0; Size + 8 < Bytes.size(); Size += 4)
      CHECK_FALSE(decodeRolloutMessage(std::span(Bytes).first(Size)));
  }
}

TEST_CASE_FIXTURE(rollout_codec_fixture,
                  "encodeRolloutMessage_fractionalAge_roundedUp") {
  const rollout_response Response{1, {1}, {{.Age = 1500us}}};
  const auto Decoded = decodeRolloutMessage(encodeRolloutMessage(Response));
  CHECK(std::get<rollout_response>(*Decoded).Reports.at(0).Age == 2ms);
}
