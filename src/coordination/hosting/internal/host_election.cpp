#include "coordination/hosting/host_election.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <tuple>

namespace peridot {

namespace {

/// Requests per second that one core can serve.
constexpr double RequestsPerCore = 400;
/// Requests per second for each megabit per second of a link; leaves headroom
/// for bursts of large bodies.
constexpr double RequestsPerMegabit = 2.5;

} // namespace

double capacityOf(const vm_resources &Resources) {
  return std::min(Resources.Cores * RequestsPerCore,
                  Resources.LinkMegabits * RequestsPerMegabit);
}

host_election::host_election(vm_name Self, data_center_name DataCenter,
                             hosting_options Options)
    : Self(std::move(Self)), DataCenter(std::move(DataCenter)),
      Options(Options) {}

void host_election::setRegisteredVms(std::span<const ranked_vm> Listed,
                                     instant Now) {
  std::map<vm_name, known_vm> Next;
  for (const ranked_vm &Each : Listed) {
    known_vm Known{.Vm = Each.Vm, .Rank = Each.Rank, .ListedAt = Now};
    const auto Found = Vms.find(Each.Vm.Vm);
    if (Found != Vms.end() &&
        Found->second.Vm.Incarnation == Each.Vm.Incarnation) {
      Known = Found->second;
      Known.Rank = Each.Rank;
    }
    Next.emplace(Each.Vm.Vm, std::move(Known));
  }
  Vms = std::move(Next);
}

void host_election::recordReport(const vm_name &Vm, const host_report &Report,
                                 instant Now) {
  const auto Found = Vms.find(Vm);
  if (Found == Vms.end())
    return;
  Found->second.LastSeenAt = Now;
  Found->second.Ready = Report.Ready && !Report.Leaving;
  Found->second.RequestsPerSecond = Report.RequestsPerSecond;
}

void host_election::recordReport(const data_center_report &Report,
                                 instant Now) {
  if (Report.DataCenter != DataCenter)
    RemoteDataCenters[Report.DataCenter] = {.ReceivedAt = Now,
                                            .Hosts = Report.Hosts};
}

bool host_election::isReady(const known_vm &Known, instant Now) const {
  if (Known.Vm.Vm == Self)
    return IsSelfReady;
  return Known.LastSeenAt && Now - *Known.LastSeenAt < Options.SilenceLimit &&
         Known.Ready;
}

bool host_election::isEligible(const known_vm &Known, instant Now) const {
  const bool AwaitsFirstReport =
      Known.Vm.Vm != Self && !Known.LastSeenAt &&
      Now - Known.ListedAt < Options.FirstReportGracePeriod;
  return isReady(Known, Now) || AwaitsFirstReport;
}

std::vector<const host_election::known_vm *>
host_election::ranked(const data_center_name &Where) const {
  std::vector<const known_vm *> Ranked;
  for (const auto &[Name, Known] : Vms)
    if (Known.Vm.DataCenter == Where)
      Ranked.push_back(&Known);
  const auto Order = [this](const known_vm *Each) {
    const double MaxRequestsPerSecond =
        std::min(Each->Vm.MaxRequestsPerSecond, Options.RatePerHost);
    return std::tuple(-MaxRequestsPerSecond, Each->Rank, Each->Vm.Vm.view());
  };
  std::ranges::sort(Ranked, {}, Order);
  return Ranked;
}

double host_election::reportedRate(instant Now) const {
  double Rate = 0;
  for (const auto &[Name, Known] : Vms)
    if (Known.Vm.DataCenter == DataCenter && isReady(Known, Now))
      Rate += Known.RequestsPerSecond;
  return Rate;
}

void host_election::fitHostCount(instant Now) {
  const double Rate = reportedRate(Now);
  Fitted.PerSecond = std::max(Fitted.PerSecond, Rate);
  const double Threshold = Fitted.PerSecond * Options.ShrinkThreshold;
  if (Rate >= Threshold) {
    Fitted.LowSince.reset();
  } else if (!Fitted.LowSince) {
    Fitted.LowSince = Now;
  } else if (Now - *Fitted.LowSince >= Options.ShrinkDelay) {
    Fitted = {.PerSecond = Threshold, .LowSince = Now};
  }
}

std::vector<registered_vm> host_election::firstEligible(std::size_t Extra,
                                                        instant Now) const {
  double Rate = Fitted.PerSecond;
  std::vector<registered_vm> Found;
  for (const known_vm *Each : ranked(DataCenter)) {
    if (!isEligible(*Each, Now))
      continue;
    const bool IsNeeded = Found.size() < Options.MinHosts ||
                          (Rate > 0 && Found.size() < Options.MaxHosts);
    if (!IsNeeded && Extra-- == 0)
      break;
    Found.push_back(Each->Vm);
    Rate -= std::min(Each->Vm.MaxRequestsPerSecond, Options.RatePerHost);
  }
  return Found;
}

std::vector<registered_vm>
host_election::remoteHosts(const data_center_name &Where, instant Now) const {
  std::vector<registered_vm> Found;
  const auto Last = RemoteDataCenters.find(Where);
  if (Last != RemoteDataCenters.end() &&
      Now - Last->second.ReceivedAt < Options.ReportLifetime)
    for (const vm_name &Name : Last->second.Hosts)
      if (const auto Vm = Vms.find(Name); Vm != Vms.end())
        Found.push_back(Vm->second.Vm);
  if (!Found.empty())
    return Found;
  for (const known_vm *Each : ranked(Where))
    if (Found.size() < Options.MinHosts &&
        Now - Each->ListedAt < Options.FirstReportGracePeriod)
      Found.push_back(Each->Vm);
  return Found;
}

std::vector<registered_vm> host_election::hosts(const data_center_name &Where,
                                                instant Now) const {
  std::vector<registered_vm> Found;
  if (Where != DataCenter)
    Found = remoteHosts(Where, Now);
  return Found.empty() ? firstEligible(0, Now) : Found;
}

std::vector<vm_name> host_election::stableHosts(const data_center_name &Where,
                                                instant Now) const {
  return firstNames(Where == DataCenter ? firstEligible(0, Now)
                                        : remoteHosts(Where, Now));
}

std::size_t
host_election::silentHostCount(const data_center_name &Where) const {
  const auto Last = RemoteDataCenters.find(Where);
  if (Last != RemoteDataCenters.end() && !Last->second.Hosts.empty())
    return Last->second.Hosts.size();
  return std::min(Options.MinHosts, ranked(Where).size());
}

fleet_hosts host_election::fleetHosts(instant Now) const {
  fleet_hosts Fleet;
  for (const data_center_name &Each : dataCenters()) {
    const std::vector<registered_vm> Found =
        Each == DataCenter ? firstEligible(0, Now) : remoteHosts(Each, Now);
    data_center_hosts Named{.DataCenter = Each};
    for (const registered_vm &Vm : Found)
      Named.Hosts.push_back(Vm.Vm);
    std::ranges::copy(Named.Hosts, std::back_inserter(Fleet.Hosts));
    if (!Found.empty())
      Fleet.DataCenters.push_back(std::move(Named));
    std::ranges::move(firstNames(Found), std::back_inserter(Fleet.StableHosts));
    if (Found.empty() && Each != DataCenter)
      Fleet.SilentHostCount += silentHostCount(Each);
  }
  return Fleet;
}

std::vector<vm_name>
host_election::reportRecipients(const data_center_name &Where,
                                instant Now) const {
  std::vector<vm_name> Names = stableHosts(Where, Now);
  if (!Names.empty())
    return Names;
  // The data centre is silent: any of its VMs that runs passes the report on.
  for (const known_vm *Each : ranked(Where))
    Names.push_back(Each->Vm.Vm);
  return Names;
}

std::vector<vm_name>
host_election::firstNames(std::span<const registered_vm> Vms) const {
  std::vector<vm_name> Names;
  for (const registered_vm &Each :
       Vms.first(std::min(Vms.size(), Options.MinHosts)))
    Names.push_back(Each.Vm);
  return Names;
}

std::vector<vm_name> host_election::reporters(instant Now) const {
  std::vector<vm_name> Names;
  for (const registered_vm &Each : firstEligible(Options.Spares, Now))
    Names.push_back(Each.Vm);
  return Names;
}

bool host_election::isSelfReporter(instant Now) const {
  return std::ranges::any_of(
      firstEligible(Options.Spares, Now),
      [this](const registered_vm &Each) { return Each.Vm == Self; });
}

bool host_election::isSelfHost(instant Now) const {
  return std::ranges::any_of(
      firstEligible(0, Now),
      [this](const registered_vm &Each) { return Each.Vm == Self; });
}

std::vector<vm_name> host_election::ranking() const {
  std::vector<vm_name> Names;
  for (const known_vm *Each : ranked(DataCenter))
    Names.push_back(Each->Vm.Vm);
  return Names;
}

std::vector<vm_name> host_election::localPeers() const {
  std::vector<vm_name> Names;
  for (const auto &[Name, Known] : Vms)
    if (Known.Vm.DataCenter == DataCenter && Name != Self)
      Names.push_back(Name);
  return Names;
}

std::vector<data_center_name> host_election::dataCenters() const {
  std::set<data_center_name> Found;
  for (const auto &[Name, Known] : Vms)
    Found.insert(Known.Vm.DataCenter);
  return {Found.begin(), Found.end()};
}

} // namespace peridot
