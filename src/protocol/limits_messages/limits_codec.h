/// \file
/// Encodes and decodes requests and grants for shares of accounts' limits.
#pragma once

#include <variant>

#include "coordination/limits/types/share_messages.h"
#include "protocol/peer_frames/types/peer_frame.h"
#include "state/base/types/error.h"

namespace peridot {

using limits_message = std::variant<share_request_batch, share_grant_batch>;

/// Encodes a message as the body of a frame.
std::vector<std::byte> encodeLimitsMessage(const limits_message &Message);

/// Decodes the body of a frame. Fails with Protocol if it is malformed or has
/// a number that is negative or not finite.
result<limits_message> decodeLimitsMessage(bytes_view Body);

} // namespace peridot
