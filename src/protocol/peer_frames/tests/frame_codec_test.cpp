#include "protocol/peer_frames/frame_codec.h"

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct frame_codec_fixture {
  link_challenge Challenge{std::byte{1}, std::byte{2}};
  peer_hello Hello{{vm_name("vm-1"), {7}}, data_center_name("lakes-a")};
  session_key Key = deriveSessionKey("fleet", Challenge, Hello);
  frame_encoder Encoder{Key};
  frame_decoder Decoder{Key};
  std::vector<std::byte> Body{std::byte{9}, std::byte{8}};
};

} // namespace

TEST_CASE_FIXTURE(frame_codec_fixture,
                  "takeFrames_fedByteByByte_framesDecoded") {
  std::vector<std::byte> Stream = Encoder.encode(frame_subject::Limits, Body);
  const auto Second = Encoder.encode(frame_subject::Health, {});
  Stream.insert(Stream.end(), Second.begin(), Second.end());
  std::vector<peer_frame> Frames;
  for (std::byte Byte : Stream) {
    Decoder.feed({&Byte, 1});
    auto Taken = Decoder.takeFrames();
    REQUIRE(Taken);
    for (peer_frame &Frame : *Taken)
      Frames.push_back(std::move(Frame));
  }
  REQUIRE(Frames.size() == 2);
  CHECK(Frames[0].Subject == frame_subject::Limits);
  CHECK(Frames[0].Body == Body);
  CHECK(Frames[1].Body.empty());
}

TEST_CASE_FIXTURE(frame_codec_fixture, "takeFrames_modifiedBody_unauthorized") {
  std::vector<std::byte> Stream = Encoder.encode(frame_subject::Limits, Body);
  Stream[5] ^= std::byte{1};
  Decoder.feed(Stream);
  CHECK(Decoder.takeFrames().error().Kind == error_kind::Unauthorized);
}

TEST_CASE_FIXTURE(frame_codec_fixture,
                  "takeFrames_replayedFrame_unauthorized") {
  const std::vector<std::byte> Stream =
      Encoder.encode(frame_subject::Limits, Body);
  Decoder.feed(Stream);
  CHECK(Decoder.takeFrames());
  Decoder.feed(Stream);
  CHECK(Decoder.takeFrames().error().Kind == error_kind::Unauthorized);
}

TEST_CASE_FIXTURE(frame_codec_fixture, "takeFrames_lengthAboveLimit_tooLarge") {
  const std::vector<std::byte> Stream(8, std::byte{0xFF});
  Decoder.feed(Stream);
  CHECK(Decoder.takeFrames().error().Kind == error_kind::TooLarge);
}

TEST_CASE_FIXTURE(frame_codec_fixture, "decodeHello_sameFleetKey_roundTrips") {
  const auto Bytes = encodeHello(Hello, "fleet", Challenge);
  const bytes_view Body = bytes_view(Bytes).subspan(4);
  CHECK(decodeHello(Body, "fleet", Challenge).value() == Hello);
  CHECK(decodeHello(Body, "other", Challenge).error().Kind ==
        error_kind::Unauthorized);
  CHECK(decodeHello(Body, "fleet", link_challenge{}).error().Kind ==
        error_kind::Unauthorized);
}
