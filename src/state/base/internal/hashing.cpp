#include "state/base/hashing.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/sha.h>
#include <xxhash.h>

namespace peridot {

std::string sha256Hex(std::string_view Bytes) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Digest{};
  SHA256(reinterpret_cast<const unsigned char *>(Bytes.data()), Bytes.size(),
         Digest.data());
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text;
  Text.reserve(Digest.size() * 2);
  for (unsigned char Byte : Digest) {
    Text.push_back(Digits[Byte >> 4U]);
    Text.push_back(Digits[Byte & 0x0FU]);
  }
  return Text;
}

key_digest digestOfKey(std::string_view Key) {
  return key_digest(sha256Hex(Key));
}

bool equalInConstantTime(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         CRYPTO_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::uint64_t contentHash(std::string_view Text) {
  return XXH64(Text.data(), Text.size(), 0);
}

std::uint64_t rendezvousWeight(std::string_view Subject,
                               std::string_view Candidate) {
  const XXH64_hash_t Seed = XXH64(Subject.data(), Subject.size(), 0);
  return XXH64(Candidate.data(), Candidate.size(), Seed);
}

} // namespace peridot
