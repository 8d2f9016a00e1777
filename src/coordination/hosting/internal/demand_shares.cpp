#include "coordination/hosting/demand_shares.h"

#include <algorithm>
#include <cmath>
#include <set>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Weight of the latest observation of this VM's demand.
constexpr double LatestWeight = 0.2;
/// Demand below which an account is forgotten, in requests per second.
constexpr double LeastDemand = 0.05;
/// Weight of a host without any demand.
constexpr double IdleWeight = 0.3;
/// Headroom of a demand, in standard deviations of a Poisson process.
constexpr double Headroom = 1.5;
/// More than any part; that of an account which was not asked for in a period.
constexpr double NeverDue = 2;

/// What a host with this demand needs, relative to others.
double weightOf(double Demand) {
  return Demand + Headroom * std::sqrt(Demand) + IdleWeight;
}

} // namespace

void demand_shares::heard(const vm_name &Host,
                          std::span<const account_demand> Demands,
                          instant Now) {
  heard_demand &Heard = Others[Host];
  Heard.At = Now;
  Heard.PerSecond.clear();
  for (const account_demand &Each : Demands)
    Heard.PerSecond[Each.Account] = Each.PerSecond;
}

void demand_shares::heard(const data_center_report &Report, instant Now) {
  heard_data_center &Heard = DataCenters[Report.DataCenter];
  Heard = {.At = Now, .Hosts = Report.Hosts.size()};
  for (const account_weight &Each : Report.Weights)
    Heard.Weights[Each.Account] = Each.Weight;
}

void demand_shares::observed(std::span<const account_demand> Demands) {
  for (account_demand &Known : Own)
    Known.PerSecond *= 1 - LatestWeight;
  for (const account_demand &Each : Demands) {
    auto Known = std::ranges::find(Own, Each.Account, &account_demand::Account);
    if (Known == Own.end())
      Known = Own.insert(Own.end(), {.Account = Each.Account});
    Known->PerSecond += LatestWeight * Each.PerSecond;
  }
  std::erase_if(Own, [](const account_demand &Each) {
    return Each.PerSecond < LeastDemand;
  });
}

double demand_shares::toldDemand(const account_name &Account) const {
  const auto Found = std::ranges::find(Told, Account, &account_demand::Account);
  return Found == Told.end() ? 0 : Found->PerSecond;
}

double demand_shares::nearWeight(const account_name &Account) const {
  double Total = 0;
  for (const auto &[Host, Heard] : Others) {
    const auto Found = Heard.PerSecond.find(Account);
    Total += weightOf(Found == Heard.PerSecond.end() ? 0 : Found->second);
  }
  return Total;
}

double demand_shares::farWeight(const account_name &Account) const {
  double Total = 0;
  for (const auto &[Name, Heard] : DataCenters) {
    const auto Found = Heard.Weights.find(Account);
    Total += Found == Heard.Weights.end()
                 ? weightOf(0) * static_cast<double>(Heard.Hosts)
                 : Found->second;
  }
  return Total;
}

std::size_t demand_shares::knownHosts() const {
  std::size_t Count = 1 + Others.size();
  for (const auto &[Name, Heard] : DataCenters)
    Count += Heard.Hosts;
  return Count;
}

std::vector<account_weight> demand_shares::weights() const {
  std::set<account_name> Accounts;
  for (const account_demand &Each : Told)
    Accounts.insert(Each.Account);
  for (const auto &[Host, Heard] : Others)
    for (const auto &[Account, PerSecond] : Heard.PerSecond)
      Accounts.insert(Account);
  std::vector<account_weight> Weights;
  for (const account_name &Each : Accounts)
    Weights.push_back(
        {.Account = Each,
         .Weight = weightOf(toldDemand(Each)) + nearWeight(Each)});
  return Weights;
}

double demand_shares::toleranceOf(const rate_limit &Limit) const {
  const double Window =
      std::chrono::duration<double>(Options.Tolerance.Window).count();
  return Options.Tolerance.Share *
             (Limit.RequestsPerSecond * Window + Limit.Burst) +
         Options.Tolerance.Requests;
}

rate_limit demand_shares::partOf(const rate_limit &Limit, double Part) const {
  const double Extra = Options.ToleranceUsed * toleranceOf(Limit);
  return {.RequestsPerSecond = Limit.RequestsPerSecond * Part,
          .Burst = (Limit.Burst + Extra) * Part};
}

vm_name homeOf(const account_name &Account, std::span<const vm_name> Homes) {
  const auto Best =
      std::ranges::max_element(Homes, {}, [&](const vm_name &Home) {
        return rendezvousWeight(Account.view(), Home.view());
      });
  return Best == Homes.end() ? vm_name() : *Best;
}

double demand_shares::dueTo(const account_name &Account, const sharing_vms &Vms,
                            bool IsHost) const {
  if (!IsHost)
    return 0;
  const double Heard = static_cast<double>(knownHosts());
  const double Count = std::max(static_cast<double>(Vms.Hosts.size()), Heard);
  const double Mine = weightOf(toldDemand(Account));
  const double Known = Mine + nearWeight(Account) + farWeight(Account);
  const double All =
      Known + std::max(Known / Heard, IdleWeight) * (Count - Heard);
  return Options.EvenPart / Count + (1 - Options.EvenPart) * Mine / All;
}

void demand_shares::forgetSilent(instant Now) {
  const auto IsSilent = [&](const auto &Each) {
    return Now - Each.second.At > Options.Lifetime;
  };
  std::erase_if(Others, IsSilent);
  std::erase_if(DataCenters, IsSilent);
}

void demand_shares::startPeriod(instant Now) {
  if (Now - PeriodStart < Options.Settling)
    return;
  PeriodStart = Now;
  std::erase_if(Settled,
                [](const auto &Each) { return Each.second.Least == NeverDue; });
  for (auto &[Account, Part] : Settled) {
    Part.Used = Part.Least;
    Part.Least = NeverDue;
  }
}

double demand_shares::settle(const account_name &Account, double Due) {
  settled_part &Part =
      Settled.try_emplace(Account, settled_part{.Used = Due, .Least = Due})
          .first->second;
  Part.Least = std::min(Part.Least, Due);
  Part.Used = std::min(Part.Used, Due);
  return Part.Used;
}

std::vector<account_part>
demand_shares::parts(std::span<const client_account> Accounts,
                     const sharing_vms &Vms, const vm_name &Self, instant Now) {
  forgetSilent(Now);
  startPeriod(Now);
  const bool IsHost = std::ranges::find(Vms.Hosts, Self) != Vms.Hosts.end();
  const auto Count =
      static_cast<double>(std::max(Vms.Hosts.size(), knownHosts()));
  std::vector<account_part> Parts;
  for (const client_account &Account : Accounts) {
    if (Account.Limit.RequestsPerSecond <= 0)
      continue;
    const bool Divided =
        isDivisible(Account.Limit, (1 - Options.HomePart) / Count);
    const double HomePart = Divided ? Options.HomePart : 1;
    const double Part =
        settle(Account.Name, dueTo(Account.Name, Vms, IsHost)) * (1 - HomePart);
    const double AtFirst =
        Options.ToleranceAtFirst * toleranceOf(Account.Limit);
    account_part Each{.Account = Account.Name,
                      .Limit = partOf(Account.Limit, Part),
                      .AtFirst = AtFirst * Part,
                      .Whole = Account.Limit,
                      .Home = homeOf(Account.Name, Vms.Homes)};
    if (Each.Home == Self) {
      Each.Kept = partOf(Account.Limit, HomePart);
      Each.KeptAtFirst = AtFirst * HomePart;
      if (!Divided) {
        Each.KeptWindow = Options.Tolerance.Window;
        Each.KeptAgain =
            std::min(Account.Limit.Burst,
                     Options.ToleranceAgain * toleranceOf(Account.Limit));
      }
    }
    Parts.push_back(std::move(Each));
  }
  return Parts;
}

} // namespace peridot
