/// \file
/// Encodes and decodes heartbeats as FlatBuffers.
#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "coordination/membership/types/heartbeat.h"
#include "state/base/types/error.h"

namespace peridot {

std::vector<std::byte> encodeHeartbeat(const heartbeat &Heartbeat);

/// Fails with Protocol if \p Bytes are not a valid heartbeat.
result<heartbeat> decodeHeartbeat(std::span<const std::byte> Bytes);

} // namespace peridot
