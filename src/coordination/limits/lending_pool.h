/// \file
/// Owner's side of one pool of one account: what is left and what is lent.
///
/// Invariant: level + the largest bursts that may be in use anywhere <= burst
/// of the pool, and likewise for rates. docs/design.md has the proof.
#pragma once

#include <map>
#include <variant>
#include <vector>

#include "coordination/limits/lending_options.h"

namespace peridot {

/// Shares follow the demand that borrowers report.
struct split_by_demand {};

/// Each of \p Holders borrowers gets an equal, fixed part.
struct split_equally {
  std::size_t Holders = 1;
};

using split_policy = std::variant<split_by_demand, split_equally>;

/// Tokens that a pool starts with.
struct pool_start {
  instant UsableFrom; ///< Nothing is lent before.
  bool Full = false;  ///< False: fills from nothing.
};

/// A share that changes without having been asked for.
struct share_change {
  vm_incarnation Borrower;
  instant RequestedAt; ///< On the borrower's clock.
  share_grant Grant;
};

/// Lends parts of a rate and burst as escrow.
class lending_pool {
public:
  lending_pool(pool_limit Limit, pool_start Start);

  void setLimit(pool_limit Changed, instant Now);

  /// Notes what a request gives back and answers it. The grant's account,
  /// pool, epoch and limit are left to the caller.
  /// \param Hold how long the share counts as lent.
  share_grant lend(const vm_incarnation &Borrower, const share_request &Request,
                   instant RequestedAt, const split_policy &Policy,
                   duration Hold, instant Now);

  /// Larger shares for borrowers that got less than their due, as far as there
  /// is room; and smaller ones for those that hold much more than their due
  /// while others lack. A borrower is recalled from once per \p Pause.
  std::vector<share_change> rebalance(duration Pause, instant Now);

  /// Tokens that can be lent now.
  double level() const { return Level; }
  /// Sum of the largest shares that may be in use.
  pool_limit held() const;

private:
  struct lent_share {
    share_version Version;
    pool_limit Share;
    instant HeldUntil;
  };
  struct borrower_account {
    std::vector<lent_share> Lent; ///< By version.
    double Demand = 0;
    instant DemandUntil;
    instant RequestedAt;
    instant RecalledAt;
    double Level = 0; ///< Tokens left, as last reported.

    bool lacks(const pool_limit &Due) const;
  };
  using entry = std::map<vm_incarnation, borrower_account>::value_type;

  void advance(instant Now);
  void settle(borrower_account &Account, const share_request &Request);
  pool_limit due(const borrower_account &Account) const;
  pool_limit available(const borrower_account &Account) const;
  void enlarge(entry &Entry, std::vector<share_change> &Out);
  void recall(entry &Entry, duration Pause, instant Now,
              std::vector<share_change> &Out);
  static pool_limit heldBy(const borrower_account &Account);
  double wantOf(const borrower_account &Account) const;
  share_grant record(borrower_account &Account, pool_limit Share, double Tokens,
                     instant HeldUntil);

  pool_limit Limit;
  double Level = 0;
  /// Of the latest share lent to anyone, so that a version never comes twice.
  share_version Last;
  instant AdvancedTo;
  instant UsableFrom;
  std::map<vm_incarnation, borrower_account> Borrowers;
};

} // namespace peridot
