/// \file
/// Sets command-line flags from environment variables.
#pragma once

#include <string>
#include <vector>

namespace peridot {

/// Sets each flag defined in a source file whose path contains \p SourceFile
/// from the environment variable PERIDOT_<FLAG IN CAPITALS>, if present. Call
/// before parsing the command line so that its flags take precedence.
/// \returns one message per variable whose value does not match the flag's
/// type.
std::vector<std::string> readEnvironmentFlags(const std::string &SourceFile);

} // namespace peridot
