/// \file
/// Inputs and outputs of the health coordinator.
#pragma once

#include "coordination/health/types/health_events.h"
#include "coordination/health/types/health_messages.h"
#include "coordination/membership/types/membership_view.h"
#include "coordination/ownership/types/ownership_view.h"

namespace peridot {

/// Message to another VM.
struct outgoing_health_message {
  vm_name To;
  health_message Message;
};

/// Decision to record in the journal.
struct service_decision {
  service_name Service;
  health_decision Decision;
  /// Whether this VM decided without the owner, from its own evidence and for
  /// its own traffic only.
  bool IsStandalone = false;
};

/// Effects of one call, for the caller to carry out.
struct health_effects {
  std::vector<outgoing_health_message> Messages;
  std::vector<service_decision> Decisions;
  bool ConditionsChanged = false;
};

/// View of the fleet that the coordinator reads.
struct health_context {
  const ownership_view &Ownership;
  const membership_view &Members;
  instant Now;
};

/// Sender of a message.
struct health_sender {
  vm_name Vm;
  data_center_name DataCenter;
};

} // namespace peridot
