/// \file
/// Framing of peer links.
///
/// A frame consists of the length of the body (4 bytes, little endian), the
/// subject (1 byte), the body, and an authentication tag (16 bytes of
/// HMAC-SHA256 over sequence number, subject and body).
#pragma once

#include <string_view>

#include "protocol/peer_frames/types/peer_frame.h"
#include "state/base/types/error.h"

namespace peridot {

/// Maximum size of a frame's body.
inline constexpr std::size_t MaxFrameBodyBytes = 1U << 20U;
/// Size of a frame without its body: length, subject and tag.
inline constexpr std::size_t FrameOverheadBytes = 4 + 1 + 16;

/// Derives the key of one link from the fleet key.
session_key deriveSessionKey(std::string_view FleetKey,
                             const link_challenge &Challenge,
                             const peer_hello &Hello);

/// Encodes a hello with its length prefix, authenticated by the session key
/// that is derived from it.
std::vector<std::byte> encodeHello(const peer_hello &Hello,
                                   std::string_view FleetKey,
                                   const link_challenge &Challenge);

/// Decodes a hello without its length prefix of 4 bytes. Fails with
/// Unauthorized if the sender used another fleet key.
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

/// Decodes the frames of one link in order, from chunks of any size.
class frame_decoder {
public:
  explicit frame_decoder(const session_key &Key) : Key(Key) {}

  /// Appends received bytes.
  void feed(bytes_view Bytes);
  /// Removes and returns all complete frames; none if more bytes are needed.
  /// The caller must close the link after an error.
  result<std::vector<peer_frame>> takeFrames();

private:
  result<peer_frame> decodeOne(bytes_view Frame);

  session_key Key;
  std::uint64_t Sequence = 0;
  std::vector<std::byte> Pending;
};

} // namespace peridot
