/// \file
/// Holder's side of the fleet-wide limits: decides which shares to request,
/// renew and return, and how much of them the traffic threads may use.
#pragma once

#include <map>
#include <span>

#include "coordination/limits/share_directory.h"
#include "coordination/ownership/types/ownership_view.h"

namespace peridot {

/// A batch of requests and the owner to send it to.
struct addressed_requests {
  vm_name Owner;
  share_request_batch Batch;
};

/// Requests shares from the owners and fills the buckets of the share
/// directory.
class share_holder {
public:
  share_holder(incarnation Self, share_options Options,
               share_directory &Directory)
      : Self(Self), Options(Options), Directory(Directory) {}

  /// Sets the accounts of the configuration in force. If the limit of an
  /// account became smaller, its shares in use shrink at once.
  void configure(std::span<const limited_account> Accounts, instant Now);
  /// Sets the accounts of which this VM is a reserve holder.
  void setReserveAccounts(std::span<const account_id> ReserveAccounts);

  /// Returns the requests that are due now, one batch per owner.
  std::vector<addressed_requests> poll(const shard_map &Owners, instant Now);
  /// Applies grants. Outdated, repeated and expired grants are ignored.
  void receive(const share_grant_batch &Batch, instant Now);

private:
  /// The share of one pool that this VM holds.
  struct held_share {
    epoch Epoch;
    share_version Version;
    share_version ReleasedBelow;
    pool_limit Granted;
    /// Account limit on which the owner based the grant.
    pool_limit OwnerLimit;
    pool_limit Effective; ///< Granted, capped by this VM's configuration.
    instant ValidUntil;
    instant LastRequestAt;
    /// Minimum time between two requests for a larger share.
    duration RetryDelay = std::chrono::milliseconds(100);
    /// Tokens above the burst of a smaller share, until they are returned.
    double SurplusTokens = 0;
    /// When tokens were last returned. Grants for earlier requests are ignored
    /// because the owner computed them without the returned tokens.
    instant ReturnedAt;
    /// Whether a new share must be confirmed to the owner.
    bool ConfirmationDue = false;
  };
  struct account_entry {
    limited_account Limit;
    shard_number Shard;
    std::shared_ptr<account_share> Share;
    held_share Main;
    held_share Reserve;
    bool HoldsReserve = false;
    std::uint64_t SeenAttempts = 0;
    std::uint64_t SeenRefusals = 0;
    /// Whether requests were refused since the last share request.
    bool RefusedSinceRequest = false;
    double Demand = 0;         ///< Requests per second, smoothed.
    double ReportedDemand = 0; ///< Demand last reported to the owner.
  };

  static held_share &shareOf(account_entry &Entry, pool_kind Pool) {
    return Pool == pool_kind::Main ? Entry.Main : Entry.Reserve;
  }
  static bool isInUse(const held_share &Share, instant Now) {
    return Now < Share.ValidUntil && Share.Effective.Rate > 0;
  }
  void updateDemand(account_entry &Entry, duration Span);
  bool isMainRequestDue(const account_entry &Entry, instant Now) const;
  bool isReserveRequestDue(const account_entry &Entry, instant Now) const;
  share_request makeRequest(account_entry &Entry, pool_kind Pool, epoch Owner,
                            instant Now);
  void apply(account_entry &Entry, const share_grant &Grant,
             instant RequestedAt, instant Now);
  void capToLimit(account_entry &Entry, pool_kind Pool, instant Now);

  incarnation Self;
  share_options Options;
  share_directory &Directory;
  std::map<account_id, account_entry> Accounts;
  std::uint64_t Sequence = 0;
  instant PolledAt;
};

} // namespace peridot
