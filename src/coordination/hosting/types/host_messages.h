/// \file
/// Messages between the VMs that serve callers.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "coordination/capacity/types/service_demand.h"
#include "coordination/health/types/attempt_observation.h"
#include "state/base/types/identifiers.h"

namespace peridot {

/// Identifies the view of the hosts by which a VM divides limits; 0: unknown,
/// as in messages of earlier versions of the program.
using view_version = std::uint32_t;

/// Request rate of one account at one VM.
struct account_demand {
  account_name Account;
  double PerSecond = 0;

  bool operator==(const account_demand &) const = default;
};

/// Combined weight of the hosts of one data centre in the division of an
/// account's limit.
struct account_weight {
  account_name Account;
  double Weight = 0;

  bool operator==(const account_weight &) const = default;
};

/// Sent periodically to the other VMs of the data centre by each VM that is a
/// host or may become one.
struct host_report {
  bool Ready = false;   ///< Accepts callers.
  bool Leaving = false; ///< Is shutting down.
  double RequestsPerSecond = 0;
  std::vector<account_demand> Demands; ///< Sent to hosts and spares only.
  view_version View = 0;               ///< Acted on by this VM.
  /// Requests that run or wait at this VM; sent to hosts and spares only.
  std::optional<std::vector<service_demand>> Services;

  bool operator==(const host_report &) const = default;
};

/// The hosts of one data centre and their demand. Its stable hosts send it
/// periodically to those of the other data centres, which relay it locally.
struct data_center_report {
  data_center_name DataCenter;
  std::vector<vm_name> Hosts; ///< Stable hosts first.
  /// Accounts with demand; sent to hosts and spares only.
  std::vector<account_weight> Weights;
  view_version View = 0; ///< Acted on by all of Hosts; 0: by some at most.
  /// Requests that run or wait at the hosts; sent to hosts and spares only.
  std::optional<std::vector<service_demand>> Services;

  bool operator==(const data_center_report &) const = default;
};

/// Number of attempts at one target that ended in the same way.
struct attempt_tally {
  target_name Target;
  attempt_end End = attempt_end::Responded;
  unsigned Count = 0;
  bool IsLeaving = false;     ///< The target said so in these responses.
  std::int64_t StartedAt = 0; ///< Of the target's process.

  bool operator==(const attempt_tally &) const = default;
};

/// Sent to the hosts of the same data centre shortly after attempts end.
struct evidence_batch {
  std::vector<attempt_tally> Evidence;

  bool operator==(const evidence_batch &) const = default;
};

/// Requests tokens from the reserve of an account's primary.
struct reserve_request {
  account_name Account;
  unsigned Requests = 0;

  bool operator==(const reserve_request &) const = default;
};

/// Requests that the primary grants and deducts from its reserve; 0: denied.
struct reserve_grant {
  account_name Account;
  unsigned Requests = 0;

  bool operator==(const reserve_grant &) const = default;
};

using host_message =
    std::variant<host_report, data_center_report, evidence_batch,
                 reserve_request, reserve_grant>;

} // namespace peridot
