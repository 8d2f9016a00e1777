/// \file
/// VMs whose entries were removed from the store a short time ago.
///
/// A VM removes its entry when it begins to stop, and serves callers for some
/// time after that. Meanwhile it needs its peers: the primaries respond to its
/// requests for grants, and the reports of its data centre tell it which VMs
/// these are. It is no host, has no share of a limit, and no address response
/// names it.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "coordination/hosting/host_election.h"
#include "state/base/types/instant.h"

namespace peridot {

struct departed_vm_options {
  /// Maximum time from the removal of an entry to the end of the VM's process.
  duration MaxStopTime = std::chrono::seconds(60);
  /// Reports go to a departed VM until nothing was received from it for this
  /// time. While it stops, it sends reports itself.
  duration SilenceLimit = hosting_options().SilenceLimit;
  /// Number of VMs that reports of other data centres go to.
  std::size_t RemoteRecipients = hosting_options().MinHosts;
};

/// The VMs that were the last to depart from a data centre.
struct emptied_data_center {
  data_center_name DataCenter;
  std::vector<vm_name> LastVms; ///< The last one is first.

  bool operator==(const emptied_data_center &) const = default;
};

class departed_vms {
public:
  explicit departed_vms(vm_name Self, departed_vm_options Options = {})
      : Self(std::move(Self)), Options(Options) {}

  /// Applies to VMs that have departed already, too.
  void setMaxStopTime(duration Time) { Options.MaxStopTime = Time; }
  /// Replaces the registered VMs. The other VMs that were registered have
  /// departed; a registered one has not, whatever it was before.
  void setRegisteredVms(std::span<const ranked_vm> Listed, instant Now);
  /// Records that a message of a VM was received.
  void recordMessage(const vm_name &Vm, incarnation Incarnation, instant Now);
  /// Drops the VMs whose processes have ended by now.
  /// \returns whether there were any.
  bool dropEnded(instant Now);

  /// Returns the VMs that responses can be sent to.
  std::vector<registered_vm> reachable() const;
  /// Returns the VMs of a data centre that reports are sent to.
  std::vector<vm_name> reportRecipients(const data_center_name &DataCenter,
                                        instant Now) const;

  /// Returns the data centres of departed VMs without any registered VM. Others
  /// report to the registered VMs, which pass it on.
  std::vector<emptied_data_center> emptiedDataCenters() const;

private:
  struct departed_vm {
    registered_vm Vm;
    instant DepartedAt{};
    instant LastHeardAt{};
  };

  bool hasRegisteredVm(const data_center_name &DataCenter) const;

  vm_name Self;
  departed_vm_options Options;
  std::map<vm_name, registered_vm> Registered;
  /// One for each name at most.
  std::map<vm_name, departed_vm> Departed;
};

} // namespace peridot
