/// \file
/// What the health coordinator wants done.
#pragma once

#include "coordination/health/types/health_events.h"
#include "coordination/health/types/health_messages.h"
#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/ownership_view.h"

namespace peridot {

/// A message to another VM.
struct outgoing_health_message {
  vm_name To;
  health_message Message;
};

/// A decision for the journal.
struct service_decision {
  service_name Service;
  health_decision Decision;
  /// Taken without the owner, on this VM's evidence and for this VM only.
  bool Alone = false;
};

/// Result of one event.
struct health_effects {
  std::vector<outgoing_health_message> Messages;
  std::vector<service_decision> Decisions;
  bool ConditionsChanged = false;
};

/// What the coordinator reads of the rest of the fleet.
struct health_surroundings {
  const ownership_view &Ownership;
  const membership_view &Members;
  instant Now;
};

/// Who sent a message.
struct health_sender {
  vm_name Vm;
  data_center_name DataCenter;
};

} // namespace peridot
