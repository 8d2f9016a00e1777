/// \file
/// Strongly typed numbers such as revisions, epochs and incarnations.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace peridot {

/// An ordered 64-bit number that cannot be mixed up with other kinds; \p Tag
/// defines the kind.
template <typename Tag> struct strong_number {
  std::uint64_t Value = 0;

  auto operator<=>(const strong_number &) const = default;
  strong_number next() const { return {Value + 1}; }
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Out, strong_number<Tag> Number) {
  return Out << Number.Value;
}

} // namespace peridot

template <typename Tag> struct std::hash<peridot::strong_number<Tag>> {
  std::size_t operator()(peridot::strong_number<Tag> Number) const {
    return std::hash<std::uint64_t>{}(Number.Value);
  }
};
