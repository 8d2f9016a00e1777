/// \file
/// Checks the records of a run with injected faults against the guarantees
/// given to callers and targets.
#pragma once

#include <string>
#include <vector>

#include "support/run_records.h"

namespace peridot::test {

/// Finds violated guarantees; an empty result is a clean run. Of each envelope,
/// only the first violation is returned.
std::vector<violation> checkRun(const run_records &Records);

/// Parses the execution list of a target stand-in.
std::vector<execution_record> parseExecutions(const std::string &Json);

/// Parses the list of a target stand-in of the requests that reached it.
std::vector<arrival_record> parseArrivals(const std::string &Json);

} // namespace peridot::test
