/// \file
/// Every flag can also be set by an environment variable.
#pragma once

#include <string>
#include <vector>

namespace peridot {

/// Sets each flag that is defined in a source file whose path contains
/// \p SourceFile from the variable PERIDOT_<FLAG IN CAPITALS>, if it is set.
/// Called before the command line is parsed, which overrides it.
/// \returns one message per variable with a value that does not fit.
std::vector<std::string> readEnvironmentFlags(const std::string &SourceFile);

} // namespace peridot
