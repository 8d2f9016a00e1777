/// \file
/// Selects the VMs of a data centre that accept callers.
///
/// A few VMs serve all callers of a data centre, so that each of them sees
/// enough requests to evaluate targets, and few connections go to each target.
/// VMs are ranked by capacity, up to RatePerHost, then by order of
/// registration: the first are the hosts, the next are spares. VMs of one data
/// centre send reports to each other; other data centres are known from their
/// reports.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "coordination/hosting/types/host_messages.h"
#include "state/base/types/instant.h"
#include "state/registry/types/registered_vm.h"

namespace peridot {

struct hosting_options {
  std::size_t MinHosts = 2; ///< In each data centre.
  std::size_t MaxHosts = 64;
  /// Requests per second that one host serves before another host is added, if
  /// its capacity allows.
  double RatePerHost = 40;
  /// The number of hosts shrinks once the rate has been below this fraction of
  /// the fitted rate for ShrinkDelay.
  double ShrinkThreshold = 0.7;
  duration ShrinkDelay = std::chrono::seconds(10);
  /// Number of VMs that send reports besides the hosts, so that they can
  /// replace a host at once.
  std::size_t Spares = 1;
  /// A VM is ineligible after this time without a report.
  duration SilenceLimit = std::chrono::milliseconds(1'600);
  /// A newly registered VM is eligible for this long without any report.
  duration FirstReportGracePeriod = std::chrono::seconds(2);
  /// How long the last report of another data centre is valid.
  duration ReportLifetime = std::chrono::seconds(4);
};

/// Hardware resources of a VM.
struct vm_resources {
  double Cores = 1;
  double LinkMegabits = 1'000; ///< Per second, in each direction.
};

/// Returns the caller requests per second that such a VM can serve.
double capacityOf(const vm_resources &Resources);

/// A VM with its place in the order of registration.
struct ranked_vm {
  registered_vm Vm;
  std::uint64_t Rank = 0; ///< Lower: registered earlier.
};

/// Hosts of one data centre.
struct data_center_hosts {
  data_center_name DataCenter;
  std::vector<vm_name> Hosts;
};

/// Hosts of all data centres, as limits are divided among them.
struct fleet_hosts {
  std::vector<vm_name> Hosts; ///< Of the data centres that report; no repeats.
  /// The first hosts of each of these data centres.
  std::vector<vm_name> StableHosts;
  /// Hosts by data centre; of those that report.
  std::vector<data_center_hosts> DataCenters;
  /// Hosts of registered data centres without a recent report. They may still
  /// serve callers, so they keep their part of each limit.
  std::size_t SilentHostCount = 0;

  std::size_t count() const { return Hosts.size() + SilentHostCount; }
};

/// Tracks the registered VMs and their last reports, and elects the hosts.
class host_election {
public:
  host_election(vm_name Self, data_center_name DataCenter,
                hosting_options Options = {});

  /// Replaces the registered VMs.
  void setRegisteredVms(std::span<const ranked_vm> Vms, instant Now);
  /// Records a report of a VM of this VM's data centre.
  void recordReport(const vm_name &Vm, const host_report &Report, instant Now);
  /// Records a report of another data centre.
  void recordReport(const data_center_report &Report, instant Now);
  /// Adjusts the fitted rate, which determines the number of hosts of this data
  /// centre, to the reported rate; called periodically.
  void fitHostCount(instant Now);
  /// Sets whether this VM accepts callers.
  void setSelfReady(bool Ready) { IsSelfReady = Ready; }

  /// Returns the hosts for callers in \p DataCenter; if it has none, the hosts
  /// of this VM's data centre.
  std::vector<registered_vm> hosts(const data_center_name &DataCenter,
                                   instant Now) const;
  /// Returns the stable hosts of a data centre, which stay hosts at any request
  /// rate.
  std::vector<vm_name> stableHosts(const data_center_name &DataCenter,
                                   instant Now) const;
  /// Returns the hosts among which limits are divided.
  fleet_hosts fleetHosts(instant Now) const;
  /// Returns the VMs of another data centre to which this data centre's hosts
  /// are reported.
  std::vector<vm_name> reportRecipients(const data_center_name &DataCenter,
                                        instant Now) const;
  /// Returns the hosts and spares of this VM's data centre.
  std::vector<vm_name> reporters(instant Now) const;
  /// Whether this VM is a host or a spare.
  bool isSelfReporter(instant Now) const;
  bool isSelfHost(instant Now) const;

  /// Returns all VMs of this VM's data centre in the order in which they are
  /// chosen for tasks on behalf of the others.
  std::vector<vm_name> ranking() const;
  /// Returns the other VMs of this VM's data centre.
  std::vector<vm_name> localPeers() const;
  std::vector<data_center_name> dataCenters() const;
  /// Returns the number of registered VMs, whether they run or not.
  std::size_t registeredCount() const { return Vms.size(); }

private:
  friend struct state_digest; ///< Tests recognise equal states by it.

  /// Requests per second that the number of hosts is fitted to.
  struct fitted_rate {
    double PerSecond = 0;
    /// When the reported rate fell below the shrink threshold; empty while it
    /// is above.
    std::optional<instant> LowSince;
  };
  struct known_vm {
    registered_vm Vm;
    std::uint64_t Rank = 0;
    instant ListedAt{};
    std::optional<instant> LastSeenAt;
    bool Ready = true;
    double RequestsPerSecond = 0;
  };

  struct reported_data_center {
    instant ReceivedAt{};
    std::vector<vm_name> Hosts;
  };

  /// Whether the last report of a VM is recent and says that it accepts
  /// callers.
  bool isReady(const known_vm &Known, instant Now) const;
  /// Whether a VM may be a host: ready, or still in its grace period before the
  /// first report.
  bool isEligible(const known_vm &Known, instant Now) const;
  std::vector<const known_vm *>
  ranked(const data_center_name &DataCenter) const;
  /// Sum of the requests per second reported by the VMs of this data centre.
  double reportedRate(instant Now) const;
  /// Returns as many VMs of this data centre as the fitted rate needs, and up
  /// to \p Extra more.
  std::vector<registered_vm> firstEligible(std::size_t Extra,
                                           instant Now) const;
  /// Returns the hosts in the last report of another data centre; without a
  /// valid report, the VMs that rank first there while in their grace period.
  std::vector<registered_vm> remoteHosts(const data_center_name &Where,
                                         instant Now) const;
  /// Returns the number of hosts that another data centre last reported; if it
  /// never did, the number that its registered VMs allow.
  std::size_t silentHostCount(const data_center_name &Where) const;
  /// Returns the names of the first MinHosts of \p Vms.
  std::vector<vm_name> firstNames(std::span<const registered_vm> Vms) const;

  vm_name Self;
  data_center_name DataCenter;
  hosting_options Options;
  bool IsSelfReady = false;
  std::map<vm_name, known_vm> Vms;
  std::map<data_center_name, reported_data_center> RemoteDataCenters;
  fitted_rate Fitted;
};

} // namespace peridot
