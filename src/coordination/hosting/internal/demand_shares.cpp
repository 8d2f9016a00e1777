#include "coordination/hosting/demand_shares.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Weight of the latest observation in the moving average of this VM's demand.
constexpr double LatestWeight = 0.2;
/// Demand below which an account is dropped, in requests per second.
constexpr double MinDemand = 0.05;
/// Weight of a host without any demand.
constexpr double IdleWeight = 0.3;
/// Headroom above a demand, in standard deviations of a Poisson process.
constexpr double Headroom = 1.5;
/// Larger than any fraction; marks one that was not computed in a period.
constexpr double NotComputed = 2;

/// Relative weight of a host with this demand, in requests per second.
double weightOf(double Demand) {
  return Demand + Headroom * std::sqrt(Demand) + IdleWeight;
}

} // namespace

void demand_shares::recordReport(const vm_name &Host,
                                 std::span<const account_demand> Demands,
                                 instant Now) {
  reported_demand &Reported = LocalHosts[Host];
  Reported.ReceivedAt = Now;
  Reported.PerSecond.clear();
  for (const account_demand &Each : Demands)
    Reported.PerSecond[Each.Account] = Each.PerSecond;
}

void demand_shares::recordReport(const data_center_report &Report,
                                 instant Now) {
  reported_data_center &Reported = DataCenters[Report.DataCenter];
  Reported = {.ReceivedAt = Now, .Hosts = Report.Hosts.size()};
  for (const account_weight &Each : Report.Weights)
    Reported.Weights[Each.Account] = Each.Weight;
}

void demand_shares::recordDemand(std::span<const account_demand> Demands) {
  for (account_demand &Known : OwnDemand)
    Known.PerSecond *= 1 - LatestWeight;
  for (const account_demand &Each : Demands) {
    auto Known =
        std::ranges::find(OwnDemand, Each.Account, &account_demand::Account);
    if (Known == OwnDemand.end())
      Known = OwnDemand.insert(OwnDemand.end(), {.Account = Each.Account});
    Known->PerSecond += LatestWeight * Each.PerSecond;
  }
  std::erase_if(OwnDemand, [](const account_demand &Each) {
    return Each.PerSecond < MinDemand;
  });
}

double demand_shares::reportedOwnDemand(const account_name &Account) const {
  const auto Found =
      std::ranges::find(ReportedOwnDemand, Account, &account_demand::Account);
  return Found == ReportedOwnDemand.end() ? 0 : Found->PerSecond;
}

double demand_shares::localWeight(const account_name &Account) const {
  double Total = 0;
  for (const auto &[Host, Reported] : LocalHosts) {
    const auto Found = Reported.PerSecond.find(Account);
    Total += weightOf(Found == Reported.PerSecond.end() ? 0 : Found->second);
  }
  return Total;
}

double demand_shares::remoteWeight(const account_name &Account) const {
  double Total = 0;
  for (const auto &[Name, Reported] : DataCenters) {
    const auto Found = Reported.Weights.find(Account);
    Total += Found == Reported.Weights.end()
                 ? weightOf(0) * static_cast<double>(Reported.Hosts)
                 : Found->second;
  }
  return Total;
}

std::size_t demand_shares::reportingVmCount() const {
  std::size_t Count = 1 + LocalHosts.size();
  for (const auto &[Name, Reported] : DataCenters)
    Count += Reported.Hosts;
  return Count;
}

std::vector<account_weight> demand_shares::weights() const {
  std::set<account_name> Accounts;
  for (const account_demand &Each : ReportedOwnDemand)
    Accounts.insert(Each.Account);
  for (const auto &[Host, Reported] : LocalHosts)
    for (const auto &[Account, PerSecond] : Reported.PerSecond)
      Accounts.insert(Account);
  std::vector<account_weight> Weights;
  for (const account_name &Each : Accounts)
    Weights.push_back(
        {.Account = Each,
         .Weight = weightOf(reportedOwnDemand(Each)) + localWeight(Each)});
  return Weights;
}

double demand_shares::toleranceOf(const rate_limit &Limit) const {
  const double Window =
      std::chrono::duration<double>(Options.Tolerance.Window).count();
  return Options.Tolerance.Share *
             (Limit.RequestsPerSecond * Window + Limit.Burst) +
         Options.Tolerance.Requests;
}

rate_limit demand_shares::scaledLimit(const rate_limit &Limit,
                                      double Share) const {
  const double ExtraBurst = Options.ToleranceUsed * toleranceOf(Limit);
  return {.RequestsPerSecond = Limit.RequestsPerSecond * Share,
          .Burst = (Limit.Burst + ExtraBurst) * Share};
}

vm_name primaryOf(const account_name &Account,
                  std::span<const vm_name> StableHosts) {
  const auto Best =
      std::ranges::max_element(StableHosts, {}, [&](const vm_name &Candidate) {
        return rendezvousWeight(Account.view(), Candidate.view());
      });
  return Best == StableHosts.end() ? vm_name() : *Best;
}

double demand_shares::computePart(const account_name &Account,
                                  const sharing_vms &Vms, bool IsHost) const {
  if (!IsHost)
    return 0;
  const double HostCount = Vms.hostCount();
  const double ReportingCount = static_cast<double>(reportingVmCount());
  const double MissingCount = std::max(0.0, HostCount - ReportingCount);
  const double OwnWeight = weightOf(reportedOwnDemand(Account));
  const double KnownWeight =
      OwnWeight + localWeight(Account) + remoteWeight(Account);
  const double TotalWeight =
      KnownWeight +
      std::max(KnownWeight / ReportingCount, IdleWeight) * MissingCount;
  return Options.EvenShare / HostCount +
         (1 - Options.EvenShare) * OwnWeight / TotalWeight;
}

void demand_shares::forgetSilent(instant Now) {
  const auto IsSilent = [&](const auto &Each) {
    return Now - Each.second.ReceivedAt > Options.ReportLifetime;
  };
  std::erase_if(LocalHosts, IsSilent);
  std::erase_if(DataCenters, IsSilent);
}

double demand_shares::fraction_in_use::update(double Computed) {
  MinComputed = std::min(MinComputed, Computed);
  Current = std::min(Current, Computed);
  return Current;
}

void demand_shares::fraction_in_use::startPeriod() {
  Current = MinComputed;
  MinComputed = NotComputed;
}

void demand_shares::fraction_in_use::set(double Computed) {
  Current = Computed;
  MinComputed = Computed;
}

void demand_shares::startPeriod(instant Now) {
  if (Now - PeriodStart < Options.GrowthDelay)
    return;
  PeriodStart = Now;
  std::erase_if(LimitsInUse, [](const auto &Each) {
    return Each.second.Part.MinComputed == NotComputed;
  });
  for (auto &[Account, InUse] : LimitsInUse) {
    InUse.Part.startPeriod();
    InUse.Divided.startPeriod();
    InUse.Reserve.startPeriod();
  }
}

demand_shares::limit_in_use &
demand_shares::limitInUse(const account_name &Account, double Part,
                          double Reserve) {
  const limit_in_use New{
      .Part = {.Current = Part, .MinComputed = Part},
      .Divided = {.Current = 1 - Reserve, .MinComputed = 1 - Reserve},
      .Reserve = {.Current = Reserve, .MinComputed = Reserve}};
  return LimitsInUse.try_emplace(Account, New).first->second;
}

double demand_shares::startTokens(const rate_limit &Limit,
                                  const sharing_vms &Vms, instant Now) const {
  const bool IsStarting =
      FirstDivisionAt && Now - *FirstDivisionAt < Options.GrowthDelay;
  if (!IsStarting || Vms.RegisteredCount == 0)
    return 0;
  const std::chrono::duration<double> Time(Options.StartAllowanceTime);
  const auto Count = static_cast<double>(Vms.RegisteredCount);
  return std::floor(Limit.RequestsPerSecond * Time.count() / Count);
}

std::vector<account_limit_share>
demand_shares::shares(std::span<const client_account> Accounts,
                      const sharing_vms &Vms, const vm_name &Self,
                      instant Now) {
  forgetSilent(Now);
  startPeriod(Now);
  if (!FirstDivisionAt)
    FirstDivisionAt = Now;
  const bool IsHost = std::ranges::find(Vms.Hosts, Self) != Vms.Hosts.end();
  std::vector<account_limit_share> Shares;
  for (const client_account &Account : Accounts) {
    if (Account.Limit.RequestsPerSecond <= 0)
      continue;
    const bool IsDivided = isDivisible(
        Account.Limit, (1 - Options.ReserveShare) / Vms.hostCount());
    const double DueReserve = IsDivided ? Options.ReserveShare : 1;
    const double DueDivided = 1 - DueReserve;
    const double DuePart = computePart(Account.Name, Vms, IsHost);
    limit_in_use &InUse = limitInUse(Account.Name, DuePart, DueReserve);
    if (Vms.IsAgreed) {
      InUse.Divided.set(DueDivided);
      InUse.Reserve.set(DueReserve);
    }
    const double DueShare = DuePart * DueDivided;
    const double Share =
        InUse.Part.update(DuePart) * InUse.Divided.update(DueDivided);
    const double ReserveShare = InUse.Reserve.update(DueReserve);
    const double InitialTokens =
        Options.InitialTolerance * toleranceOf(Account.Limit);
    account_limit_share Each{.Account = Account.Name,
                             .Limit = scaledLimit(Account.Limit, Share),
                             .InitialTokens = InitialTokens * Share,
                             .AccountLimit = Account.Limit,
                             .Primary =
                                 primaryOf(Account.Name, Vms.StableHosts)};
    const double EvenPart = DueReserve / Vms.hostCount();
    Each.ExpectedPerSecond =
        Account.Limit.RequestsPerSecond * (DueShare + EvenPart);
    const double StartTokens = startTokens(Account.Limit, Vms, Now);
    Each.Limit.Burst = std::max(Each.Limit.Burst, StartTokens);
    Each.InitialTokens = std::max(Each.InitialTokens, StartTokens);
    Each.IdlePerSecond = Account.Limit.RequestsPerSecond * (DueShare - Share);
    if (Each.Primary == Self) {
      Each.IdlePerSecond +=
          Account.Limit.RequestsPerSecond * (DueReserve - ReserveShare);
      Each.Reserve = scaledLimit(Account.Limit, ReserveShare);
      Each.InitialReserveTokens = InitialTokens * ReserveShare;
      if (ReserveShare == 1) {
        Each.ReserveWindow = Options.Tolerance.Window;
        Each.ReserveBurstPerWindow =
            std::min(Account.Limit.Burst,
                     Options.BurstTolerance * toleranceOf(Account.Limit));
      }
    }
    Shares.push_back(std::move(Each));
  }
  return Shares;
}

} // namespace peridot
