/// \file
/// Framing of peer links: length, subject, body and authentication tag.
///
/// A frame is: length of the body (4 bytes, little endian), subject (1 byte),
/// body, tag (16 bytes of HMAC-SHA256 over sequence number, subject and body).
#pragma once

#include <string_view>

#include "protocol/peer_frames/types/peer_frame.h"
#include "state/base/types/error.h"

namespace peridot {

/// Largest body of a frame, in bytes.
inline constexpr std::size_t MaxFrameBody = 1U << 20U;
/// Bytes that a frame needs besides its body.
inline constexpr std::size_t FrameOverhead = 4 + 1 + 16;

/// Derives the key of one link from the fleet key.
session_key deriveSessionKey(std::string_view FleetKey,
                             const link_challenge &Challenge,
                             const peer_hello &Hello);

/// Encodes the hello, authenticated by the key derived from it.
std::vector<std::byte> encodeHello(const peer_hello &Hello,
                                   std::string_view FleetKey,
                                   const link_challenge &Challenge);

/// Decodes a hello body (without its length prefix of 4 bytes). Fails with
/// Unauthorized when the sender does not know the fleet key.
result<peer_hello> decodeHello(bytes_view Body, std::string_view FleetKey,
                               const link_challenge &Challenge);

/// Encodes the frames of one link in order.
class frame_encoder {
public:
  explicit frame_encoder(const session_key &Key) : Key(Key) {}
  std::vector<std::byte> encode(frame_subject Subject, bytes_view Body);

private:
  session_key Key;
  std::uint64_t Sequence = 0;
};

/// Decodes the frames of one link in order, from pieces of any size.
class frame_decoder {
public:
  explicit frame_decoder(const session_key &Key) : Key(Key) {}

  /// Appends received bytes.
  void feed(bytes_view Bytes);
  /// Takes all whole frames that have arrived; none when more bytes are needed.
  /// After an error the link must be closed.
  result<std::vector<peer_frame>> takeFrames();

private:
  result<peer_frame> decodeOne(bytes_view Frame);

  session_key Key;
  std::uint64_t Sequence = 0;
  std::vector<std::byte> Pending;
};

} // namespace peridot
