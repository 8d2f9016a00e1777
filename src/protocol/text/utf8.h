/// \file
/// Text from outside that may not be valid UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace peridot {

bool isUtf8(std::string_view Text);

/// Returns \p Text with U+FFFD in place of what is not valid UTF-8.
std::string replaceInvalidUtf8(std::string_view Text);

} // namespace peridot
