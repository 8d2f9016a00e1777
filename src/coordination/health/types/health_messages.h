/// \file
/// What VMs tell each other about the health of targets.
#pragma once

#include <variant>

#include "coordination/health/types/service_verdicts.h"

namespace peridot {

/// A target said that it will leave.
struct drain_notice {
  service_name Service;
  target_id Target;

  bool operator==(const drain_notice &) const = default;
};

/// A new owner asks for the verdicts that a VM holds.
struct verdict_query {
  service_name Service;

  bool operator==(const verdict_query &) const = default;
};

using health_message =
    std::variant<service_report, service_verdicts, drain_notice, verdict_query>;

} // namespace peridot
