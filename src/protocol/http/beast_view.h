/// \file
/// Conversions between std::string_view and Beast's string_view.
#pragma once

#include <string_view>

#include <boost/beast/core/string.hpp>

namespace peridot {

inline std::string_view toStd(boost::beast::string_view Text) {
  return {Text.data(), Text.size()};
}

inline boost::beast::string_view toBeast(std::string_view Text) {
  return {Text.data(), Text.size()};
}

} // namespace peridot
