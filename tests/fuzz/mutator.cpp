#include "fuzz/mutator.h"

#include <array>
#include <string_view>

namespace peridot::test {

namespace {

constexpr std::size_t MaxChanges = 6;
/// Texts that mean something to one of the formats.
constexpr std::array<std::string_view, 16> Fragments{"{",
                                                     "}",
                                                     "[",
                                                     "]",
                                                     "\"",
                                                     ":",
                                                     ",",
                                                     "null",
                                                     "-1",
                                                     "1e999",
                                                     "\r\n",
                                                     "\\u0000",
                                                     "18446744073709551616",
                                                     "Content-Length: 5\r\n",
                                                     "\xff\xff\xff\xff",
                                                     "ms"};

} // namespace

std::string mutator::mutate(std::string Message) {
  for (std::size_t Changes = 1 + below(MaxChanges); Changes > 0; --Changes)
    changeOnce(Message);
  return Message;
}

void mutator::changeOnce(std::string &Message) {
  const std::size_t At = below(Message.size() + 1);
  switch (below(5)) {
  case 0:
    if (At < Message.size())
      Message[At] = static_cast<char>(Random());
    return;
  case 1:
    Message.resize(At);
    return;
  case 2:
    Message.insert(At, Fragments[below(Fragments.size())]);
    return;
  case 3:
    Message.erase(At, below(16));
    return;
  default: // Repeats a part of the message.
    Message.insert(At, Message.substr(below(Message.size() + 1), below(64)));
  }
}

} // namespace peridot::test
