/// \file
/// Strongly typed names, so that an account cannot be passed for a service.
#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>

namespace peridot {

/// A string that cannot be mixed up with other kinds of names; \p Tag defines
/// the kind.
template <typename Tag> class strong_name {
public:
  strong_name() = default;
  explicit strong_name(std::string_view Text) : Value(Text) {}

  /// View of the text; valid for the lifetime of this object.
  std::string_view view() const { return Value; }
  const std::string &str() const { return Value; }
  bool empty() const { return Value.empty(); }

  auto operator<=>(const strong_name &) const = default;

private:
  std::string Value;
};

template <typename Tag>
std::ostream &operator<<(std::ostream &Out, const strong_name<Tag> &Name) {
  return Out << Name.view();
}

} // namespace peridot

template <typename Tag> struct std::hash<peridot::strong_name<Tag>> {
  std::size_t operator()(const peridot::strong_name<Tag> &Name) const {
    return std::hash<std::string_view>{}(Name.view());
  }
};
