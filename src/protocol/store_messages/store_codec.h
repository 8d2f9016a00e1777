/// \file
/// Encodes and decodes messages about the platform's store as FlatBuffers.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/registry/types/store_messages.h"
#include "state/base/types/error.h"

namespace peridot {

std::vector<std::byte> encodeStoreMessage(const store_message &Message);

/// Fails with Protocol if \p Bytes are not a valid message.
result<store_message> decodeStoreMessage(std::span<const std::byte> Bytes);

} // namespace peridot
