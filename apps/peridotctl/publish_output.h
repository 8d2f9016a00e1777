/// \file
/// What the commands that change the configuration share.
#pragma once

#include "command_line.h"
#include "transport/platform/configuration_publisher.h"

namespace peridot {

/// Author, reason and publish id of the flags; a new id unless one is given.
publish_intent intentOf(const command_options &Options);

/// Prints what came of the change and returns the exit code.
exit_code printReport(const result<publish_report> &Report,
                      const publish_intent &Intent, bool Json);

} // namespace peridot
