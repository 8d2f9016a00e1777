/// \file
/// The commands of peridotctl, one function each.
#pragma once

#include "command_line.h"

namespace peridot {

exit_code runCheck(const command_line &Line);
exit_code runPublish(const command_line &Line);
exit_code runKeys(const command_line &Line);
exit_code runStatus(const command_line &Line);
exit_code runExplain(const command_line &Line);
/// Runs `explain request ID FILE...`, which reads log files.
exit_code explainRequest(const command_line &Line);
exit_code runBurn(const command_line &Line);
exit_code runDrain(const command_line &Line);

} // namespace peridot
