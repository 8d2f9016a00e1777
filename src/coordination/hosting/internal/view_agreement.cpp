#include "coordination/hosting/view_agreement.h"

#include <algorithm>
#include <string>
#include <utility>

#include "state/base/hashing.h"

namespace peridot {

namespace {

void appendSorted(std::string &Text, std::vector<vm_name> Names) {
  std::ranges::sort(Names);
  for (const vm_name &Each : Names)
    Text.append(Each.view()).push_back('\n');
  Text.push_back('\n');
}

} // namespace

view_version versionOf(const fleet_hosts &Fleet, std::uint64_t LimitsHash) {
  std::string Text;
  appendSorted(Text, Fleet.Hosts);
  appendSorted(Text, Fleet.StableHosts);
  Text += std::to_string(Fleet.SilentHostCount) + ' ';
  Text += std::to_string(LimitsHash);
  return std::max<view_version>(static_cast<view_version>(contentHash(Text)),
                                1);
}

bool view_agreement::adopt(const fleet_hosts &Fleet, std::uint64_t LimitsHash,
                           instant Now) {
  const view_version Next = versionOf(Fleet, LimitsHash);
  if (Next == Version)
    return false;
  std::erase_if(LeftAt, [&](const auto &Each) {
    return Now - Each.second > Options.ReuseDelay;
  });
  LeftAt[Version] = Now;
  IsReused = LeftAt.contains(Next);
  Version = Next;
  AdoptedAt = Now;
  HasSilentHosts = Fleet.SilentHostCount > 0;
  Hosts.clear();
  for (const data_center_hosts &Each : Fleet.DataCenters)
    Hosts[Each.DataCenter] = Each.Hosts;
  return true;
}

std::span<const vm_name>
view_agreement::hostsOf(const data_center_name &Where) const {
  const auto Found = Hosts.find(Where);
  return Found == Hosts.end() ? std::span<const vm_name>()
                              : std::span(Found->second);
}

void view_agreement::recordReport(const vm_name &Vm, view_version Reported,
                                  instant Now) {
  LocalVms[Vm] = {.Version = Reported, .ReceivedAt = Now};
  std::erase_if(LocalVms, [&](const auto &Each) {
    return Now - Each.second.ReceivedAt > Options.LeaseTime;
  });
}

bool view_agreement::recordReport(const data_center_report &Report,
                                  instant Now) {
  const bool IsContradictory =
      Report.View != 0 && Report.View == Version &&
      !std::ranges::is_permutation(Report.Hosts, hostsOf(Report.DataCenter));
  DataCenters[Report.DataCenter] = {
      .Version = IsContradictory ? 0 : Report.View, .ReceivedAt = Now};
  return !IsContradictory;
}

view_version view_agreement::localVersion(instant Now) const {
  for (const vm_name &Each : hostsOf(DataCenter)) {
    const auto Found = LocalVms.find(Each);
    if (Each != Self &&
        (Found == LocalVms.end() || !isCurrent(Found->second, Now)))
      return 0;
  }
  // VMs that are no hosts may not know that yet.
  const bool IsHeldBack = std::ranges::any_of(LocalVms, [&](const auto &Each) {
    return Each.second.Version != Version &&
           Now - Each.second.ReceivedAt <= Options.LeaseTime;
  });
  return IsHeldBack ? 0 : Version;
}

bool view_agreement::isAgreed(instant Now) const {
  if (Version == 0 || HasSilentHosts || localVersion(Now) == 0 ||
      (IsReused && Now - AdoptedAt < Options.ReusedVersionWait))
    return false;
  return std::ranges::all_of(Hosts, [&](const auto &Each) {
    const auto Found = DataCenters.find(Each.first);
    return Each.first == DataCenter ||
           (Found != DataCenters.end() && isCurrent(Found->second, Now));
  });
}

} // namespace peridot
