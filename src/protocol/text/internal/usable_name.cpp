#include "protocol/text/usable_name.h"

#include <algorithm>

#include "protocol/text/utf8.h"

namespace peridot {

namespace {

bool isControl(char Each) {
  constexpr unsigned char FirstPrintable = 0x20;
  constexpr unsigned char Delete = 0x7f;
  const auto Byte = static_cast<unsigned char>(Each);
  return Byte < FirstPrintable || Byte == Delete;
}

/// Whether UTF-8 text has one of the control characters U+0080 to U+009F.
bool hasC1Control(std::string_view Text) {
  constexpr char Lead = '\xc2';
  constexpr char FirstAfter = '\xa0';
  return std::ranges::adjacent_find(Text, [](char First, char Second) {
           return First == Lead && Second < FirstAfter;
         }) != Text.end();
}

} // namespace

bool isUsableName(std::string_view Name) {
  if (Name.empty() || Name.size() > MaxNameBytes)
    return false;
  if (Name.front() == ' ' || Name.back() == ' ')
    return false;
  return std::ranges::none_of(Name, isControl) && isUtf8(Name) &&
         !hasC1Control(Name);
}

} // namespace peridot
