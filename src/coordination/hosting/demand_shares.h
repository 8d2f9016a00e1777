/// \file
/// Which part of each account's limit this VM may use.
///
/// Hosts tell each other how many requests of each account they get. Each takes
/// its part of the limit by demand; a fixed part is spread evenly, so that a
/// host whose callers have just come is not left without any. A limit that is
/// too small to be divided stays whole at one host, the account's home. Other
/// VMs, which callers with an old answer use, have no part and ask the home.
///
/// Hosts learn of each other's demand and of new hosts at different moments. A
/// part shrinks at once and grows only after a period in which the larger part
/// was due all the time, so that at any moment the parts in use add up to one
/// division that all hosts knew.
#pragma once

#include <map>
#include <span>
#include <vector>

#include "coordination/hosting/types/host_messages.h"
#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

struct demand_options {
  /// Part of a limit that is spread evenly over the hosts.
  double EvenPart = 0.2;
  /// How long the last report of a host or data centre counts.
  duration Lifetime = std::chrono::seconds(10);
  /// Part of a limit that the account's home keeps for those who run short.
  double HomePart = 0.3;
  /// Burst in requests that a host needs for its part to be of use.
  double LeastBurst = 4;
  rate_tolerance Tolerance;
  /// Part of the tolerance that is given out; the rest absorbs that hosts learn
  /// of each other's demand late.
  double ToleranceUsed = 0.5;
  /// Part of the tolerance that new buckets hold; others may just have used the
  /// rest.
  double ToleranceAtFirst = 0.1;
  /// Part of the tolerance that bounds how much of a burst may be used in each
  /// window. A new home does not know how much its predecessor gave.
  double ToleranceAgain = 0.25;
  /// How long a larger part must be due before it is used. Longer than it takes
  /// all hosts to learn of a change of demand or of hosts.
  duration Settling = std::chrono::milliseconds(1'500);
};

/// This VM's part of one account's limit.
struct account_part {
  account_name Account;
  /// Without a rate when the whole limit is kept at the home.
  rate_limit Limit;
  /// Requests that a new bucket for it holds.
  double AtFirst = 0;
  /// What this VM keeps for others, if it is the account's home.
  rate_limit Kept;
  /// Requests that a new bucket for that holds.
  double KeptAtFirst = 0;
  /// If this VM keeps the whole limit: the window in which it counts, and how
  /// many requests of its burst may be used anew in each; else 0.
  duration KeptWindow{0};
  double KeptAgain = 0;
  rate_limit Whole; ///< The account's limit over all VMs.
  vm_name Home;     ///< Empty while no VM is known to be a steady host.
};

/// VMs of all data centres, in any order.
struct sharing_vms {
  std::span<const vm_name> Hosts;
  /// Hosts that stay hosts at any rate; each account has its home among them.
  std::span<const vm_name> Homes;
};

class demand_shares {
public:
  explicit demand_shares(demand_options Options = {}) : Options(Options) {}

  void setTolerance(const rate_tolerance &Tolerance) {
    Options.Tolerance = Tolerance;
  }
  /// What a host of this VM's data centre reported of its demand.
  void heard(const vm_name &Host, std::span<const account_demand> Demands,
             instant Now);
  /// What another data centre reported of its hosts.
  void heard(const data_center_report &Report, instant Now);
  /// This VM's own demand, smoothed.
  void observed(std::span<const account_demand> Demands);
  std::span<const account_demand> own() const { return Own; }
  /// Notes that the other hosts are told of the own demand now. Parts follow
  /// what was told, so that all hosts divide by the same figures.
  void told() { Told = Own; }

  /// What the hosts of this VM's data centre need, this VM as one of them.
  std::vector<account_weight> weights() const;

  /// Parts of all limited accounts.
  std::vector<account_part> parts(std::span<const client_account> Accounts,
                                  const sharing_vms &Vms, const vm_name &Self,
                                  instant Now);

private:
  struct heard_demand {
    instant At{};
    std::map<account_name, double> PerSecond;
  };
  struct heard_data_center {
    instant At{};
    std::size_t Hosts = 0;
    std::map<account_name, double> Weights;
  };

  /// The part of a limit that is in use.
  struct settled_part {
    double Used = 0;
    double Least = 0; ///< Of those that were due in this period.
  };

  double toldDemand(const account_name &Account) const;
  /// Part of a limit that demand makes due to this VM.
  double dueTo(const account_name &Account, const sharing_vms &Vms,
               bool IsHost) const;
  /// The part that may be used while \p Due is due.
  double settle(const account_name &Account, double Due);
  /// Starts a new period of settling when the last one is over.
  void startPeriod(instant Now);
  /// What the other hosts of this VM's data centre need of an account.
  double nearWeight(const account_name &Account) const;
  /// What the other data centres need of it.
  double farWeight(const account_name &Account) const;
  /// Hosts of which the demand is known, this VM among them.
  std::size_t knownHosts() const;
  void forgetSilent(instant Now);
  /// True if \p Part of a limit lets whole requests pass.
  bool isDivisible(const rate_limit &Limit, double Part) const {
    return partOf(Limit, Part).Burst >= Options.LeastBurst;
  }
  /// Requests above a limit that the deployment tolerates in a window.
  double toleranceOf(const rate_limit &Limit) const;
  /// \p Part of a limit, with its tolerance.
  rate_limit partOf(const rate_limit &Limit, double Part) const;

  demand_options Options;
  std::map<vm_name, heard_demand> Others; ///< Of this VM's data centre.
  std::map<data_center_name, heard_data_center> DataCenters; ///< The others.
  std::vector<account_demand> Own;
  std::vector<account_demand> Told;
  std::map<account_name, settled_part> Settled;
  instant PeriodStart{};
};

/// The VM that keeps a part of an account's limit; empty without \p Homes.
vm_name homeOf(const account_name &Account, std::span<const vm_name> Homes);

} // namespace peridot
