#include "coordination/capacity/service_room.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Reports are used for this long. Three may be lost.
constexpr std::chrono::milliseconds ReportLifetime{1'600};
/// Fraction of a data centre's slots that is divided evenly.
constexpr double EvenFraction = 0.2;
/// Quotas exceed a host's part by this factor; targets queue the difference.
constexpr double Headroom = 1.25;
/// Fraction of the free slots that each host may use besides its part.
constexpr double FreeFraction = 0.25;
/// Fraction of its slots that a data centre does not lend.
constexpr double LendingMargin = 0.1;

double demandIn(const std::map<service_name, double> &Demands,
                const service_name &Service) {
  const auto Found = Demands.find(Service);
  return Found == Demands.end() ? 0 : Found->second;
}

double demandIn(std::span<const service_demand> Demands,
                const service_name &Service) {
  const auto Found =
      std::ranges::find(Demands, Service, &service_demand::Service);
  return Found == Demands.end() ? 0 : Found->Requests;
}

std::map<service_name, double>
tableOf(std::span<const service_demand> Demands) {
  std::map<service_name, double> Table;
  for (const service_demand &Each : Demands)
    Table[Each.Service] += Each.Requests;
  return Table;
}

} // namespace

void service_room::recordReport(const vm_name &Vm,
                                std::span<const service_demand> Demands,
                                instant Now) {
  LocalVms[Vm] = {.Demands = tableOf(Demands), .ReceivedAt = Now};
}

void service_room::recordReport(const data_center_name &Other,
                                std::span<const service_demand> Demands,
                                instant Now) {
  DataCenters[Other] = {.Demands = tableOf(Demands), .ReceivedAt = Now};
}

void service_room::dropOld(instant Now) {
  const auto IsOld = [Now](const auto &Each) {
    return Now - Each.second.ReceivedAt > ReportLifetime;
  };
  std::erase_if(LocalVms, IsOld);
  std::erase_if(DataCenters, IsOld);
}

double service_room::othersDemand(const service_name &Service, double Own,
                                  const dividing_hosts_count &Count) const {
  double Known = 0;
  for (const auto &[Vm, Report] : LocalVms)
    Known += demandIn(Report.Demands, Service);
  const std::size_t Reporting = LocalVms.size() + 1;
  if (Count.Hosts <= Reporting)
    return Known;
  const double Mean = (Known + Own) / static_cast<double>(Reporting);
  return Known + Mean * static_cast<double>(Count.Hosts - Reporting);
}

double service_room::roomOf(const service_slots &Service,
                            double LocalDemand) const {
  double Room = 0;
  double Lent = 0;
  double OthersExcess = 0;
  for (const auto &[Name, Count] : Service.Slots) {
    const auto Slots = static_cast<double>(Count);
    if (Name == DataCenter) {
      Room = Slots;
      continue;
    }
    if (!hasVms(Name)) {
      Lent += Slots / static_cast<double>(DataCentersWithVms.size());
      continue;
    }
    // Without a report, its hosts may use all of their slots.
    const auto Report = DataCenters.find(Name);
    if (Report == DataCenters.end())
      continue;
    const double Demand = demandIn(Report->second.Demands, Service.Service);
    Lent += std::max(0.0, Slots * (1 - LendingMargin) - Demand);
    OthersExcess += std::max(0.0, Demand - Slots);
  }
  const double Excess = std::max(0.0, LocalDemand - Room);
  if (OthersExcess <= 0)
    return Room + Lent;
  return Room + Lent * Excess / (Excess + OthersExcess);
}

bool service_room::hasVms(const data_center_name &Name) const {
  return DataCentersWithVms.empty() ||
         std::ranges::find(DataCentersWithVms, Name) !=
             DataCentersWithVms.end();
}

std::size_t service_room::quotaOf(const service_slots &Service,
                                  double OwnDemand,
                                  const dividing_hosts_count &Count) const {
  const auto Hosts = static_cast<double>(Count.Hosts);
  const double Others = othersDemand(Service.Service, OwnDemand, Count);
  const double Total = OwnDemand + Others;
  const double Room = roomOf(Service, Total);
  double Quota = Room / Hosts;
  if (Count.HasReports) {
    const double OwnFraction = Total > 0 ? OwnDemand / Total : 1 / Hosts;
    const double Part =
        Room * (EvenFraction / Hosts + (1 - EvenFraction) * OwnFraction);
    Quota = Headroom * Part + FreeFraction * std::max(0.0, Room - Total);
  }
  return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(Quota)));
}

std::vector<service_quota> service_room::quotas(const own_services &Own,
                                                const room_hosts &Hosts,
                                                instant Now) {
  dropOld(Now);
  HasHeardOthers |= !LocalVms.empty() || !DataCenters.empty();
  if (!HasHeardOthers)
    return {};
  DataCentersWithVms = Hosts.DataCenters;
  if (!LocalVms.empty())
    LastHostCount = Hosts.Count;
  // Hosts that fell silent may only be out of this VM's reach.
  const dividing_hosts_count Count{
      .Hosts = std::clamp<std::size_t>(
          LastHostCount, 1, std::max<std::size_t>(Hosts.RegisteredCount, 1)),
      .HasReports = !LocalVms.empty() || LastHostCount <= 1 ||
                    Hosts.RegisteredCount <= 1};
  std::vector<service_quota> Quotas;
  for (const service_slots &Each : Own.Slots) {
    const auto InAll = std::ranges::any_of(
        Each.Slots, [](const auto &Slots) { return Slots.second > 0; });
    // Without any slot the requests are refused for lack of targets.
    if (InAll)
      Quotas.push_back(
          {.Service = Each.Service,
           .Slots = quotaOf(Each, demandIn(Own.Demands, Each.Service), Count)});
  }
  return Quotas;
}

std::vector<service_demand> service_room::localDemands(const own_services &Own,
                                                       instant Now) {
  dropOld(Now);
  demand_table Sums = tableOf(Own.Demands);
  for (const auto &[Vm, Report] : LocalVms)
    for (const auto &[Service, Requests] : Report.Demands)
      Sums[Service] += Requests;
  std::vector<service_demand> Demands;
  for (const auto &[Service, Requests] : Sums)
    Demands.push_back({.Service = Service, .Requests = Requests});
  return Demands;
}

} // namespace peridot
