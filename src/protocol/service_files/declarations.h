/// \file
/// What service files declare, with the places, so that conflicts between
/// files can be reported where they stand.
#pragma once

#include "protocol/service_files/service_file_reader.h"

namespace peridot {

/// A name that must be unique over all files, or a use of such a name.
struct declaration {
  std::string Kind; ///< "service", "target", "account", "key" or "route".
  std::string Name;
  std::string File;
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  bool IsUse = false; ///< Names something that must be declared elsewhere.
};

/// Declarations of one file; empty when it is not valid TOML, which
/// readServiceFile() reports.
std::vector<declaration> findDeclarations(std::string_view File,
                                          std::string_view Toml);

/// Names declared twice, and names used that no file declares.
file_faults findConflicts(std::span<const declaration> Declarations);

} // namespace peridot
