/// \file
/// Inputs and outputs of the hosting machine.
#pragma once

#include <span>
#include <variant>
#include <vector>

#include "coordination/capacity/service_room.h"
#include "coordination/hosting/types/host_messages.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// The limits that a VM divides.
struct limits_in_force {
  bool IsKnown = false; ///< Whether a configuration is in force.
  std::span<const client_account> Accounts;
  std::uint64_t Hash = 0; ///< Identifies the limits and the tolerance.
};

/// The tick period has passed.
struct hosting_ticked {
  own_services Services;
};
/// The first configuration has come into force.
struct first_configuration_accepted {};
/// This VM begins to stop.
struct hosting_leave_started {};
struct host_report_received {
  vm_name Sender;
  host_report Report;
};
struct data_center_report_received {
  vm_name Sender;
  data_center_name SenderDataCenter;
  data_center_report Report;
};
/// A request of \c Account found no token at this VM.
struct share_exhausted {
  account_name Account;
};
struct reserve_requested {
  vm_name Sender;
  reserve_request Request;
};
struct reserve_granted {
  reserve_grant Grant;
};

using hosting_event = std::variant<hosting_ticked, first_configuration_accepted,
                                   hosting_leave_started, host_report_received,
                                   data_center_report_received, share_exhausted,
                                   reserve_requested, reserve_granted>;

/// One message to each of several VMs.
struct outgoing_host_message {
  std::vector<vm_name> Recipients;
  host_message Message;
};
/// This VM acts on another view, or agreement on it was reached or lost.
struct hosts_view_changed {
  view_version Version = 0;
  std::size_t HostCount = 0;
  std::size_t SilentHostCount = 0;
  bool IsAgreed = false;
};
/// The number of hosts that budgets are divided by has changed.
struct host_count_changed {};
/// Requests were refused while a part of their limit lay idle.
struct refused_beside_idle_part {
  unsigned Refusals = 0;
  double IdlePerSecond = 0; ///< Of all accounts.
  std::size_t HostCount = 0;
};
/// A report names this VM's view, but other hosts than that view has.
struct contradictory_report {
  vm_name Sender;
  data_center_name DataCenter;
  view_version Version = 0;
};

/// The quotas of services have changed.
struct service_quotas_changed {
  std::vector<service_quota> Quotas; ///< Empty: none apply.
};

using hosting_effect =
    std::variant<outgoing_host_message, hosts_view_changed, host_count_changed,
                 refused_beside_idle_part, contradictory_report,
                 service_quotas_changed>;

} // namespace peridot
