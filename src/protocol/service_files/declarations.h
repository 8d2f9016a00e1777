/// \file
/// Names that service files declare or refer to, with their locations, to
/// report conflicts between files.
#pragma once

#include "protocol/service_files/service_file_reader.h"

namespace peridot {

/// Declaration of a name that must be unique over all files, or a reference to
/// such a name.
struct declaration {
  std::string Kind; ///< "service", "target", "account", "key" or "route".
  std::string Name;
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  bool IsReference = false; ///< Refers to a name that a file must declare.
};

/// Returns the declarations of one file; empty if the file is not valid TOML,
/// which readServiceFile() reports.
std::vector<declaration> findDeclarations(std::string_view File,
                                          std::string_view Toml);

/// Reports names that are declared twice, and references to names that no file
/// declares.
file_faults findConflicts(std::span<const declaration> Declarations);

} // namespace peridot
