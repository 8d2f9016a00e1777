/// \file
/// Digests of keys and documents, and rendezvous hashing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Lower-case hex SHA-256 of \p Bytes.
std::string sha256Hex(std::string_view Bytes);

/// Digest under which a client account's key is stored and logged.
key_digest digestOfKey(std::string_view Key);

/// Compares two digests without an early exit, so that timing tells nothing.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// Weight of \p Candidate for \p Subject in rendezvous hashing: the candidate
/// with the highest weight is chosen.
std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Candidate);

} // namespace peridot
