/// \file
/// How many of a service's slots this VM may use.
///
/// The slots of a data centre are for the requests of its hosts first. What
/// data centres do not use, less a margin, is lent to those whose demand
/// exceeds their slots. The slots of a data centre are divided among its hosts:
/// a part evenly, so that a host whose demand has just begun has some, the rest
/// by reported demand. While there are free slots, each host may use a part of
/// these in addition, so that no host waits beside idle slots.
///
/// A quota limits what runs; it reserves nothing. Quotas add up to slightly
/// more than the slots, as targets queue some requests.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "coordination/capacity/types/service_demand.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Slots of a service's targets that get requests, by data centre.
struct service_slots {
  service_name Service;
  std::map<data_center_name, std::size_t> Slots;
};

/// What this VM knows of its own load.
struct own_services {
  std::vector<service_slots> Slots;
  std::vector<service_demand> Demands; ///< Of this VM now.
};

/// This VM's quota of one service.
struct service_quota {
  service_name Service;
  std::size_t Slots = 0;

  bool operator==(const service_quota &) const = default;
};

/// Hosts and data centres that divide the slots.
struct room_hosts {
  std::size_t Count = 1; ///< Hosts of this VM's data centre.
  /// VMs of this VM's data centre, whether they run or not.
  std::size_t RegisteredCount = 1;
  std::vector<data_center_name> DataCenters; ///< Those with VMs.
};

/// Computes the quotas from what the hosts report; not thread-safe.
class service_room {
public:
  explicit service_room(data_center_name DataCenter)
      : DataCenter(std::move(DataCenter)) {}

  /// Records a report of another VM of this data centre.
  void recordReport(const vm_name &Vm, std::span<const service_demand> Demands,
                    instant Now);
  /// Records the sums of another data centre.
  void recordReport(const data_center_name &Other,
                    std::span<const service_demand> Demands, instant Now);
  /// Forgets a VM that stops.
  void forgetHost(const vm_name &Vm) { LocalVms.erase(Vm); }

  /// Returns this VM's quotas; empty until another host has reported.
  std::vector<service_quota> quotas(const own_services &Own,
                                    const room_hosts &Hosts, instant Now);
  /// Returns the demand of this data centre as reported to the others.
  std::vector<service_demand> localDemands(const own_services &Own,
                                           instant Now);

private:
  using demand_table = std::map<service_name, double>;
  struct report {
    demand_table Demands;
    instant ReceivedAt{};
  };
  /// Hosts that divide the slots of this data centre.
  struct dividing_hosts_count {
    std::size_t Hosts = 1;
    bool HasReports = false; ///< Another host of it has reported lately.
  };

  void dropOld(instant Now);
  /// Demand of the other VMs of this data centre; those without a report count
  /// as the mean of the others.
  double othersDemand(const service_name &Service, double Own,
                      const dividing_hosts_count &Count) const;
  /// Slots for the hosts of this data centre, including those that are lent.
  double roomOf(const service_slots &Service, double LocalDemand) const;
  /// Whether VMs of the data centre may use its slots.
  bool hasVms(const data_center_name &Name) const;
  std::size_t quotaOf(const service_slots &Service, double OwnDemand,
                      const dividing_hosts_count &Count) const;

  data_center_name DataCenter;
  std::map<vm_name, report> LocalVms;
  std::map<data_center_name, report> DataCenters;
  /// Hosts of this data centre when others last reported; 0: never.
  std::size_t LastHostCount = 0;
  bool HasHeardOthers = false; ///< Another host or data centre reported.
  std::vector<data_center_name> DataCentersWithVms; ///< Including this one.
};

} // namespace peridot
