/// \file
/// Reads the TOML service files that operators write.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "state/configuration/types/service_document.h"

namespace peridot {

/// One defect of a service file, with its location.
struct file_fault {
  std::string File;
  std::uint32_t Line = 0;   ///< From 1.
  std::uint32_t Column = 0; ///< From 1.
  std::string Message;
  std::string Remedy;

  /// Returns `file:line:column: message; remedy`.
  std::string text() const;
};

using file_faults = std::vector<file_fault>;

/// Reads one file and reports all defects found, not just the first.
/// \param File name of the file, used only to report defects.
tl::expected<service_document, file_faults>
readServiceFile(std::string_view File, std::string_view Toml);

} // namespace peridot
