/// \file
/// How far a request has come, for the lines that tell how it ended.
#pragma once

#include "coordination/routing/types/request_step.h"
#include "transport/runtime/timer_service.h"

namespace peridot {

/// Progress of one request since its head was read.
class request_progress {
public:
  void enter(request_step Next) {
    Current = Next;
    EnteredAt = bootNow();
  }
  request_step step() const { return Current; }
  /// Time since the head was read.
  std::chrono::milliseconds age() const { return since(ReceivedAt); }
  /// Time since the current step began.
  std::chrono::milliseconds stepAge() const { return since(EnteredAt); }

private:
  static std::chrono::milliseconds since(instant Time) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(bootNow() -
                                                                 Time);
  }

  instant ReceivedAt = bootNow();
  instant EnteredAt = ReceivedAt;
  request_step Current = request_step::Confirmation;
};

} // namespace peridot
