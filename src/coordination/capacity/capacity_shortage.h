/// \file
/// Recognises when a service is short of capacity on this VM.
#pragma once

#include <optional>

#include "state/base/types/instant.h"

namespace peridot {

/// A shortage that has ended.
struct ended_shortage {
  duration Length{0};
  unsigned RejectedRequests = 0;
};

/// A shortage begins with the first request that is rejected for lack of
/// capacity and ends when none has been rejected for some seconds.
class capacity_shortage {
public:
  /// Records a rejected request. \returns whether a shortage begins with it.
  bool recordRejection(instant Now);
  /// Returns the shortage if it has ended since the last call.
  std::optional<ended_shortage> takeEnded(instant Now);

private:
  instant BeganAt{};
  instant LastRejectionAt{};
  unsigned RejectedRequests = 0; ///< 0: no shortage.
};

} // namespace peridot
