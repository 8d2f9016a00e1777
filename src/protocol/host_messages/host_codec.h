/// \file
/// Encodes and decodes messages between hosts as FlatBuffers.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/hosting/types/host_messages.h"
#include "state/base/types/error.h"

namespace peridot {

std::vector<std::byte> encodeHostMessage(const host_message &Message);

/// Fails with Protocol if \p Bytes are not a valid message.
result<host_message> decodeHostMessage(std::span<const std::byte> Bytes);

} // namespace peridot
