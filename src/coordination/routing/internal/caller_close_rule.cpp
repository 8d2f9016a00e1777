#include "coordination/routing/caller_close_rule.h"

namespace peridot {

caller_close_decision decideCallerClose(const caller_close &Close) {
  if (Close.IsReset || Close.IsRepeatable)
    return cancel_attempt{};
  return finish_attempt{.ShouldProbe =
                            Close.AcceptsInterim && !Close.HasResponseStarted};
}

} // namespace peridot
