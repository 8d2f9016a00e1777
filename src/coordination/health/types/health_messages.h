/// \file
/// Messages that VMs exchange about the health of targets.
#pragma once

#include <variant>

#include "coordination/health/types/service_verdicts.h"

namespace peridot {

/// Announces that a target is draining.
struct drain_notice {
  service_name Service;
  target_id Target;

  bool operator==(const drain_notice &) const = default;
};

/// Requests the verdicts that a VM holds; sent by a new owner.
struct verdict_query {
  service_name Service;

  bool operator==(const verdict_query &) const = default;
};

using health_message =
    std::variant<service_report, service_verdicts, drain_notice, verdict_query>;

} // namespace peridot
