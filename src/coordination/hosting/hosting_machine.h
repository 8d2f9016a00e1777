/// \file
/// Decides when a VM adopts a view of the hosts, which shares of the limits it
/// uses by it, and what it tells the other VMs.
#pragma once

#include <vector>

#include "coordination/hosting/account_buckets.h"
#include "coordination/hosting/demand_shares.h"
#include "coordination/hosting/departed_vms.h"
#include "coordination/hosting/host_election.h"
#include "coordination/hosting/types/hosting_events.h"
#include "coordination/hosting/view_agreement.h"

namespace peridot {

/// Time between two hosting_ticked events.
inline constexpr std::chrono::milliseconds HostingTickPeriod{500};

class hosting_machine {
public:
  using effects = std::vector<hosting_effect>;

  hosting_machine(const vm_name &Self, const data_center_name &DataCenter,
                  const rate_tolerance &Tolerance,
                  const departed_vm_options &DepartedOptions = {});

  /// Begins to measure demand.
  void start(instant Now) { LastTick = Now; }
  void setTolerance(const rate_tolerance &Tolerance) {
    Demands.setTolerance(Tolerance);
  }
  /// Processes \p Event and returns the effects, in the order in which the
  /// driver performs them.
  effects handle(const hosting_event &Event, const limits_in_force &Limits,
                 instant Now);

  host_election &election() { return Election; }
  departed_vms &departed() { return Departed; }
  account_buckets &buckets() { return Buckets; }
  /// Returns the number of hosts that limits are divided by.
  std::size_t hostCount() const { return Fleet.count(); }

private:
  friend struct state_digest; ///< Tests recognise equal states by it.

  /// What one call of handle() works with.
  struct step {
    const limits_in_force &Limits;
    instant Now;
    effects Effects;
  };

  void on(const hosting_ticked &Event, step &Step);
  void on(const first_configuration_accepted &Event, step &Step);
  void on(const hosting_leave_started &Event, step &Step);
  void on(const host_report_received &Event, step &Step);
  void on(const data_center_report_received &Event, step &Step);
  void on(const share_exhausted &Event, step &Step);
  void on(const reserve_requested &Event, step &Step);
  void on(const reserve_granted &Event, step &Step);

  /// Whether this VM accepts callers.
  bool isReady(const limits_in_force &Limits) const {
    return Limits.IsKnown && !IsLeaving;
  }
  /// Updates the hosts and this VM's shares of the accounts' limits.
  void updateLimitShares(step &Step);
  /// Adopts the hosts known now as the view and applies the shares due by it.
  /// \returns whether the view has changed.
  bool adoptView(unused_responses Responses, step &Step);
  /// Follows a report of hosts that \p HostsChanged or that may have completed
  /// an agreement, and tells the other hosts without waiting for the next tick.
  void followReport(bool HostsChanged, step &Step);
  /// Reports the view that this VM acts on to the hosts of its data centre.
  void sendView(step &Step);
  /// Computes the quotas of services anew.
  void updateQuotas(step &Step);
  /// Counts refusals while a part of the limit lay idle.
  void reportIdleParts(std::span<const account_limit_share> Shares, step &Step);
  /// Returns this VM's report, without the demands.
  host_report briefReport(const limits_in_force &Limits) const;
  /// Returns the other VMs of this data centre, including those that stop.
  std::vector<vm_name> localPeers(instant Now) const;
  /// Reports this VM's state to the other VMs of its data centre.
  void sendReports(step &Step);
  /// Reports this data centre's hosts to the other data centres.
  void reportDataCenter(step &Step);
  /// Forwards \p Report within this data centre: the full report to hosts and
  /// spares, only the list of hosts to other VMs.
  void forwardReport(const data_center_report &Report, step &Step);

  vm_name Self;
  data_center_name DataCenter;
  host_election Election;
  departed_vms Departed;
  demand_shares Demands;
  view_agreement Views;
  account_buckets Buckets;
  service_room Room;
  own_services OwnServices; ///< As of the last tick.
  std::vector<service_quota> Quotas;
  instant LastTick{};
  std::uint64_t Ticks = 0;
  /// Limits are divided among these; accounts have their primaries among the
  /// stable hosts.
  fleet_hosts Fleet;
  /// Whether shares were last computed with all hosts agreed on the view.
  bool IsAgreementApplied = false;
  /// The version last reported to the other data centres.
  view_version ReportedLocalVersion = 0;
  bool IsLeaving = false;
};

} // namespace peridot
