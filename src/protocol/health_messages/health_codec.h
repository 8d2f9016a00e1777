/// \file
/// Encodes and decodes health messages as FlatBuffers.
#pragma once

#include <vector>

#include "coordination/health/types/health_messages.h"
#include "protocol/peer_frames/types/peer_frame.h"
#include "state/base/types/error.h"

namespace peridot {

/// Encodes a message as the body of a frame with subject Health.
std::vector<std::byte> encodeHealthMessage(const health_message &Message);

/// Fails with Protocol if the body is malformed or has unknown values.
result<health_message> decodeHealthMessage(bytes_view Body);

} // namespace peridot
