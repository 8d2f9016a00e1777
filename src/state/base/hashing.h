/// \file
/// SHA-256 digests and rendezvous hashing.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "state/base/types/identifiers.h"

namespace peridot {

/// Returns the lower-case hexadecimal SHA-256 of \p Bytes.
std::string sha256Hex(std::string_view Bytes);

/// Returns the digest that stands for a client account's key in stores and
/// logs.
key_digest digestOfKey(std::string_view Key);

/// Compares two digests in constant time, so that the time taken does not
/// reveal where they differ.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// Returns a fast hash that identifies a text; it is no protection against
/// texts made to collide.
std::uint64_t contentHash(std::string_view Text);

/// Returns the rendezvous-hashing weight of \p Candidate for \p Subject. The
/// candidate with the highest weight is selected.
std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Candidate);

} // namespace peridot
