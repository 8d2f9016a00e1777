/// \file
/// All decoders of messages that come from outside the process.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot::test {

/// A decoder and valid messages for it.
struct fuzzed_decoder {
  std::string_view Name;
  std::vector<std::string> Messages;
  std::function<void(std::string_view Message)> Decode;
};

std::vector<fuzzed_decoder> allDecoders();

} // namespace peridot::test
