/// \file
/// Encodes and decodes lease messages as FlatBuffers.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/ownership/types/lease_messages.h"
#include "state/base/types/error.h"

namespace peridot {

std::vector<std::byte> encodeLeaseMessage(const lease_message &Message);

/// Fails with Protocol if \p Bytes are not a valid message.
result<lease_message> decodeLeaseMessage(std::span<const std::byte> Bytes);

} // namespace peridot
