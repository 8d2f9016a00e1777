/// \file
/// FlatBuffers form of the messages that spread configurations.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/rollout/types/rollout_message.h"
#include "state/base/types/error.h"

namespace peridot {

std::vector<std::byte> encodeRolloutMessage(const rollout_message &Message);

/// Fails with Protocol when the bytes are not a whole, known message.
result<rollout_message> decodeRolloutMessage(std::span<const std::byte> Bytes);

} // namespace peridot
