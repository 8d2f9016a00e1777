/// \file
/// Encodes and decodes configuration rollout messages as FlatBuffers.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/rollout/types/rollout_message.h"
#include "state/base/types/error.h"

namespace peridot {

std::vector<std::byte> encodeRolloutMessage(const rollout_message &Message);

/// Fails with Protocol if \p Bytes are not a valid message of a known kind.
result<rollout_message> decodeRolloutMessage(std::span<const std::byte> Bytes);

} // namespace peridot
