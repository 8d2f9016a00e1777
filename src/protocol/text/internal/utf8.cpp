#include "protocol/text/utf8.h"

#include <algorithm>

#include <boost/locale/utf.hpp>

namespace peridot {

namespace utf = boost::locale::utf;

namespace {

constexpr std::string_view ReplacementCharacter = "\xef\xbf\xbd";

/// Reads the character at \p Next and moves behind it.
bool readCharacter(std::string_view::const_iterator &Next,
                   std::string_view::const_iterator End) {
  const utf::code_point Read = utf::utf_traits<char>::decode(Next, End);
  return Read != utf::illegal && Read != utf::incomplete;
}

} // namespace

bool isUtf8(std::string_view Text) {
  auto Next = Text.begin();
  while (Next != Text.end())
    if (!readCharacter(Next, Text.end()))
      return false;
  return true;
}

std::string replaceInvalidUtf8(std::string_view Text) {
  std::string Valid;
  Valid.reserve(Text.size());
  auto Next = Text.begin();
  while (Next != Text.end()) {
    const auto Start = Next;
    if (readCharacter(Next, Text.end())) {
      Valid.append(Start, Next);
      continue;
    }
    // The next character may begin with any byte after the first one.
    Next = Start + 1;
    Valid += ReplacementCharacter;
  }
  return Valid;
}

} // namespace peridot
