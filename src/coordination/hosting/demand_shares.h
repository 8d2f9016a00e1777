/// \file
/// This VM's share of each account's limit.
///
/// Hosts report the request rate of each account to each other. A host's share
/// of the limit follows its demand; a fixed fraction is spread evenly, so that
/// a host whose callers have just arrived is not left without a share. A limit
/// that is too small to be divided stays whole at one host, the account's
/// primary. Other VMs, which callers reach through outdated addresses, have no
/// share and request tokens from the primary's reserve.
///
/// Hosts learn of each other's demand and of new hosts at different times. A
/// host's part of the division shrinks at once and grows only after the larger
/// part was computed throughout a whole period, so that at any time the parts
/// in use add up to one division that all hosts knew.
///
/// Whether a limit is divided depends on the hosts, too. A limit passes from
/// one form to the other in two steps: what the old form gives shrinks at once;
/// what the new form gives grows when all hosts are known to have shrunk (see
/// view_agreement), or after a whole period if they are not heard of.
#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <span>
#include <vector>

#include "coordination/hosting/types/host_messages.h"
#include "state/base/types/instant.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

struct demand_options {
  /// Fraction of a limit that is spread evenly over the hosts.
  double EvenShare = 0.2;
  /// How long the last report of a host or data centre is valid.
  duration ReportLifetime = std::chrono::seconds(10);
  /// Fraction of a limit that the primary holds in reserve for other hosts.
  double ReserveShare = 0.3;
  /// Minimum burst of a host's share, in requests; a limit that gives less is
  /// not divided.
  double MinBurst = 4;
  rate_tolerance Tolerance;
  /// Fraction of the tolerance that is added to shares; the rest covers the
  /// delay with which hosts learn of each other's demand.
  double ToleranceUsed = 0.5;
  /// Fraction of the tolerance that new buckets start with; other VMs may just
  /// have used the rest.
  double InitialTolerance = 0.1;
  /// Fraction of the tolerance that bounds how much of a burst may be used
  /// again in each window, as a new primary does not know how much its
  /// predecessor granted.
  double BurstTolerance = 0.25;
  /// How long a larger share must be computed before it is used. Exceeds the
  /// time until all hosts know of a change of demand or of hosts.
  duration GrowthDelay = std::chrono::milliseconds(1'500);
  /// A VM that starts may admit its even part of what the limits of all VMs
  /// allow in this time. It was not running for at least as long.
  duration StartAllowanceTime = std::chrono::milliseconds(400);
};

/// This VM's share of one account's limit.
struct account_limit_share {
  account_name Account;
  /// Zero if this VM is no host or the primary holds the whole limit.
  rate_limit Limit;
  /// Tokens that a new bucket for Limit holds.
  double InitialTokens = 0;
  /// Held for other VMs if this VM is the account's primary.
  rate_limit Reserve;
  /// Tokens that a new bucket for Reserve holds.
  double InitialReserveTokens = 0;
  /// Window over which the reserve is enforced if it is the whole limit; else
  /// 0.
  duration ReserveWindow{0};
  /// Requests of the burst that may be used again in each ReserveWindow; 0
  /// without such a window.
  double ReserveBurstPerWindow = 0;
  rate_limit AccountLimit; ///< Over all VMs.
  /// Rate that this VM can expect to admit: its share, or an even part of a
  /// limit that its primary keeps whole.
  double ExpectedPerSecond = 0;
  vm_name Primary; ///< Empty while no stable host is known.
  /// Part of the limit that is due to this VM, as a share or as the reserve,
  /// but not in use until all hosts are known to use less; in requests per
  /// second.
  double IdlePerSecond = 0;
};

/// VMs of all data centres, in any order.
struct sharing_vms {
  std::span<const vm_name> Hosts;
  /// Hosts of data centres that do not report at present.
  std::size_t SilentHostCount = 0;
  /// Stable hosts; the primary of each account is one of them.
  std::span<const vm_name> StableHosts;
  /// Number of registered VMs, whether they run or not; 0: unknown.
  std::size_t RegisteredCount = 0;
  /// Whether all hosts are known to have shrunk their parts to what is due by
  /// these hosts.
  bool IsAgreed = false;

  /// Number of hosts that limits are divided by; at least 1.
  double hostCount() const {
    const std::size_t Count = Hosts.size() + SilentHostCount;
    return static_cast<double>(std::max<std::size_t>(Count, 1));
  }
};

class demand_shares {
public:
  explicit demand_shares(demand_options Options = {}) : Options(Options) {}

  void setTolerance(const rate_tolerance &Tolerance) {
    Options.Tolerance = Tolerance;
  }
  /// Records the demand that a host of this VM's data centre reported.
  void recordReport(const vm_name &Host,
                    std::span<const account_demand> Demands, instant Now);
  /// Records the hosts and weights that another data centre reported.
  void recordReport(const data_center_report &Report, instant Now);
  /// Adds an observation of this VM's demand to the moving average.
  void recordDemand(std::span<const account_demand> Demands);
  std::span<const account_demand> ownDemand() const { return OwnDemand; }
  /// Drops the demand of a VM that has given up its shares.
  void forgetHost(const vm_name &Host) { LocalHosts.erase(Host); }
  /// Marks this VM's demand as reported to the other hosts. Shares follow the
  /// reported demand, so that all hosts divide by the same figures.
  void markDemandReported() { ReportedOwnDemand = OwnDemand; }

  /// Returns the weights of this VM's data centre, including this VM as a host.
  std::vector<account_weight> weights() const;

  /// Returns the shares of all limited accounts.
  std::vector<account_limit_share>
  shares(std::span<const client_account> Accounts, const sharing_vms &Vms,
         const vm_name &Self, instant Now);

private:
  friend struct state_digest; ///< Tests recognise equal states by it.

  struct reported_demand {
    instant ReceivedAt{};
    std::map<account_name, double> PerSecond;
  };
  struct reported_data_center {
    instant ReceivedAt{};
    std::size_t Hosts = 0;
    std::map<account_name, double> Weights;
  };

  /// A fraction of a limit that shrinks at once and grows after a whole period.
  struct fraction_in_use {
    double Current = 0;
    double MinComputed = 0; ///< Smallest fraction computed in this period.

    /// Returns the fraction that may be used now.
    double update(double Computed);
    void startPeriod();
    /// Uses \p Computed at once.
    void set(double Computed);
  };
  struct limit_in_use {
    fraction_in_use Part;    ///< This VM's part of what is divided.
    fraction_in_use Divided; ///< Part of the limit that is divided; may be 0.
    /// Kept on every VM, so that a new primary continues with the fraction that
    /// all VMs know.
    fraction_in_use Reserve;
  };

  double reportedOwnDemand(const account_name &Account) const;
  /// Computes this VM's part of what is divided from the demand of all hosts.
  double computePart(const account_name &Account, const sharing_vms &Vms,
                     bool IsHost) const;
  /// Returns the fractions of an account's limit that are in use; \p Part and
  /// \p Reserve are used at once if the account is new.
  limit_in_use &limitInUse(const account_name &Account, double Part,
                           double Reserve);
  /// Starts a new period of GrowthDelay when the last one is over.
  void startPeriod(instant Now);
  /// Returns how many requests this VM may admit in all until its first shares
  /// can have grown.
  double startTokens(const rate_limit &Limit, const sharing_vms &Vms,
                     instant Now) const;
  /// Weight of the other hosts of this VM's data centre.
  double localWeight(const account_name &Account) const;
  /// Weight of the other data centres.
  double remoteWeight(const account_name &Account) const;
  /// Number of VMs with known demand, including this VM. They may have ceased
  /// to be hosts, so this is no number of hosts to divide by.
  std::size_t reportingVmCount() const;
  void forgetSilent(instant Now);
  /// Whether \p Share of a limit has a burst large enough to be of use.
  bool isDivisible(const rate_limit &Limit, double Share) const {
    return scaledLimit(Limit, Share).Burst >= Options.MinBurst;
  }
  /// Number of requests above a limit that are tolerated in a window.
  double toleranceOf(const rate_limit &Limit) const;
  /// Returns \p Share of a limit, including its tolerance.
  rate_limit scaledLimit(const rate_limit &Limit, double Share) const;

  demand_options Options;
  /// Other hosts of this VM's data centre.
  std::map<vm_name, reported_demand> LocalHosts;
  /// Other data centres.
  std::map<data_center_name, reported_data_center> DataCenters;
  std::vector<account_demand> OwnDemand;
  std::vector<account_demand> ReportedOwnDemand;
  std::map<account_name, limit_in_use> LimitsInUse;
  instant PeriodStart{};
  std::optional<instant> FirstDivisionAt; ///< When shares were first computed.
};

/// Returns the primary of an account; empty if \p StableHosts is empty.
vm_name primaryOf(const account_name &Account,
                  std::span<const vm_name> StableHosts);

} // namespace peridot
