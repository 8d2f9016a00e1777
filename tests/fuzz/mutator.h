/// \file
/// Random changes of encoded messages.
#pragma once

#include <random>
#include <string>

namespace peridot::test {

/// Changes valid messages into ones that are mostly malformed; the same seed
/// gives the same changes.
class mutator {
public:
  explicit mutator(std::uint64_t Seed) : Random(Seed) {}

  /// Applies a few random changes to a copy of \p Message.
  std::string mutate(std::string Message);

private:
  void changeOnce(std::string &Message);
  /// Returns a number below \p Limit, which must not be 0.
  std::size_t below(std::size_t Limit) { return Random() % Limit; }

  std::mt19937_64 Random;
};

} // namespace peridot::test
