/// \file
/// Borrower's side of the fleet-wide limits: which shares to ask for, renew
/// and return, and what the traffic threads may use meanwhile.
#pragma once

#include <map>
#include <span>

#include "coordination/limits/share_directory.h"
#include "coordination/ownership/types/ownership_view.h"

namespace peridot {

/// A batch to send to an owner.
struct addressed_requests {
  vm_name Owner;
  share_request_batch Batch;
};

/// Asks owners for shares and fills the buckets of the share directory.
class borrowing_machine {
public:
  borrowing_machine(incarnation Self, lending_options Options,
                    share_directory &Directory)
      : Self(Self), Options(Options), Directory(Directory) {}

  /// Takes the accounts of the configuration in force. Shares in use shrink
  /// at once if an account's limit shrank.
  void configure(std::span<const limited_account> Accounts, instant Now);
  /// Names the accounts that this VM is a home of.
  void setHomeOf(std::span<const account_id> Homed);

  /// Requests that are due, one batch for each owner.
  std::vector<addressed_requests> poll(const shard_map &Owners, instant Now);
  /// Applies grants; old, repeated and expired ones have no effect.
  void receive(const share_grant_batch &Batch, instant Now);

private:
  /// What this VM holds of one pool.
  struct borrowed_share {
    epoch Epoch;
    share_version Version;
    share_version DeadBelow;
    pool_limit Granted;
    pool_limit GrantedOf; ///< The account's limit that the owner went by.
    pool_limit InUse;     ///< Granted, cut to this VM's own configuration.
    instant ValidUntil;
    instant AskedAt;
    /// Time from one request for a larger share to the next.
    duration Pause = std::chrono::milliseconds(100);
    /// Tokens that a smaller share has no room for, until they are returned.
    double Excess = 0;
    /// When tokens were returned last. Grants that answer earlier requests are
    /// ignored: their owner did not know yet that tokens were under way.
    instant ReturnedAt;
    bool AnswerDue = false; ///< A new share must be confirmed to the owner.
  };
  struct account_entry {
    limited_account Limit;
    shard_number Shard;
    std::shared_ptr<account_share> Share;
    borrowed_share Main;
    borrowed_share Reserve;
    bool Home = false;
    std::uint64_t SeenAttempts = 0;
    std::uint64_t SeenRefusals = 0;
    bool Refused = false;      ///< Since the last request for a share.
    double Demand = 0;         ///< Requests per second, smoothed.
    double ReportedDemand = 0; ///< As the owner heard it last.
  };

  static borrowed_share &shareOf(account_entry &Entry, pool_kind Pool) {
    return Pool == pool_kind::Main ? Entry.Main : Entry.Reserve;
  }
  static bool inUse(const borrowed_share &Share, instant Now) {
    return Now < Share.ValidUntil && Share.InUse.Rate > 0;
  }
  void measure(account_entry &Entry, duration Span);
  bool mainIsDue(const account_entry &Entry, instant Now) const;
  bool reserveIsDue(const account_entry &Entry, instant Now) const;
  share_request makeRequest(account_entry &Entry, pool_kind Pool, epoch Owner,
                            instant Now);
  void apply(account_entry &Entry, const share_grant &Grant,
             instant RequestedAt, instant Now);
  void cutToLimit(account_entry &Entry, pool_kind Pool, instant Now);

  incarnation Self;
  lending_options Options;
  share_directory &Directory;
  std::map<account_id, account_entry> Accounts;
  std::uint64_t Sequence = 0;
  instant PolledAt;
};

} // namespace peridot
