#include "state/base/hashing.h"

#include <doctest/doctest.h>

using namespace peridot;

TEST_CASE("sha256Hex_emptyInput_knownDigest") {
  CHECK(sha256Hex("") == "e3b0c44298fc1c149afbf4c8996fb924"
                         "27ae41e4649b934ca495991b7852b855");
}

TEST_CASE("equalInConstantTime_differentLength_unequal") {
  CHECK_FALSE(equalInConstantTime("abc", "abcd"));
  CHECK(equalInConstantTime("abc", "abc"));
}

TEST_CASE("rendezvousWeight_sameArguments_sameWeight") {
  CHECK(rendezvousWeight("a", "x") == rendezvousWeight("a", "x"));
  CHECK(rendezvousWeight("a", "x") != rendezvousWeight("b", "x"));
}
