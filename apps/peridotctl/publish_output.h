/// \file
/// Helpers shared by the commands that change the configuration.
#pragma once

#include "command_line.h"
#include "transport/platform/configuration_publisher.h"

namespace peridot {

/// Returns author, reason and publish id from the flags; generates an id if
/// --publish_id is empty.
publish_intent makePublishIntent(const command_options &Options);

/// Prints the outcome of the change and returns the exit code. On failure also
/// prints the publish id, with which the change can be repeated.
exit_code printReport(const result<publish_report> &Report,
                      const publish_intent &Intent, bool Json);

} // namespace peridot
