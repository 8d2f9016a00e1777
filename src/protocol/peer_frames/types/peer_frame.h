/// \file
/// Frames and the handshake of links between VMs of the fleet.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Module of the coordination layer that a frame belongs to. The frame's body
/// is a FlatBuffers message of that module.
enum class frame_subject : std::uint8_t {
  Membership = 1,
  Ownership = 2,
  Limits = 3,
  Health = 4,
  Rollout = 5,
  Hosts = 6,
  Store = 7,
};

/// All subjects, in numeric order.
inline constexpr std::array AllFrameSubjects = {
    frame_subject::Membership, frame_subject::Ownership, frame_subject::Limits,
    frame_subject::Health,     frame_subject::Rollout,   frame_subject::Hosts,
    frame_subject::Store};

std::string_view nameOf(frame_subject Subject);

/// One message received over a link with an authenticated sender.
struct peer_frame {
  frame_subject Subject = frame_subject::Membership;
  std::vector<std::byte> Body;
};

/// Identity that a VM sends when it opens a link.
struct peer_hello {
  vm_incarnation Sender;
  data_center_name DataCenter;

  bool operator==(const peer_hello &) const = default;
};

using bytes_view = std::span<const std::byte>;

/// Random bytes that the accepting VM sends first. They make each session key
/// unique, so that recorded frames cannot be replayed.
using link_challenge = std::array<std::byte, 16>;

/// Key that authenticates the frames of one link.
using session_key = std::array<std::byte, 32>;

} // namespace peridot
