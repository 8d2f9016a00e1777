/// \file
/// Flags of the node and their checks.
#pragma once

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "transport/node/types/node_settings.h"

namespace peridot {

/// Reads flags and environment; returns every fault at once.
tl::expected<node_settings, std::vector<std::string>>
readSettings(int &Argc, char **&Argv);

} // namespace peridot
