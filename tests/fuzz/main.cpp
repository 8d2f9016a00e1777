/// \file
/// Feeds malformed messages to all decoders. A decoder may refuse a message; it
/// must not crash, hang or let an exception out.

#include <exception>
#include <iostream>

#include <gflags/gflags.h>

#include "fuzz/decoders.h"
#include "fuzz/mutator.h"

DEFINE_uint64(seed, 1, "Seed of the random changes");
DEFINE_int32(iterations, 2'000, "Malformed messages for each decoder");

namespace {

std::string printable(std::string_view Message) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Hex;
  for (const char Each : Message) {
    const auto Byte = static_cast<unsigned char>(Each);
    Hex += Digits[Byte >> 4U];
    Hex += Digits[Byte & 0xFU];
  }
  return Hex;
}

/// Returns the number of messages for which an exception left the decoder.
int countFailures(const peridot::test::fuzzed_decoder &Decoder) {
  peridot::test::mutator Mutator(FLAGS_seed);
  int Failures = 0;
  for (int Count = 0; Count < FLAGS_iterations; ++Count) {
    const std::string &Valid =
        Decoder.Messages[static_cast<std::size_t>(Count) %
                         Decoder.Messages.size()];
    const std::string Message = Mutator.mutate(Valid);
    try {
      Decoder.Decode(Message);
    } catch (const std::exception &Error) {
      ++Failures;
      std::cout << Decoder.Name << ": " << Error.what() << " for "
                << printable(Message) << '\n';
    }
  }
  return Failures;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  int Passed = 0;
  int Failed = 0;
  for (const auto &Decoder : peridot::test::allDecoders())
    ++(countFailures(Decoder) == 0 ? Passed : Failed);
  std::cout << Passed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? 0 : 1;
}
