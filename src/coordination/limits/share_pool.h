/// \file
/// Allocator's side of one pool of one account: unallocated tokens and granted
/// shares.
///
/// Invariant: level + sum of the largest bursts that may be in use at each
/// holder <= burst of the pool, and likewise for rates. docs/design.md has the
/// proof.
#pragma once

#include <map>
#include <variant>
#include <vector>

#include "coordination/limits/share_options.h"

namespace peridot {

/// Shares are proportional to the demand that holders report.
struct split_by_demand {};

/// Each of \p HolderCount holders gets an equal, fixed share.
struct split_equally {
  std::size_t HolderCount = 1;
};

using split_policy = std::variant<split_by_demand, split_equally>;

/// Initial state of a pool.
struct pool_start {
  instant UsableFrom;      ///< No share is granted before.
  bool StartsFull = false; ///< Whether the pool starts full rather than empty.
};

/// A changed share that its holder did not request.
struct share_change {
  vm_incarnation Holder;
  instant RequestedAt; ///< Latest request, on the holder's clock.
  share_grant Grant;
};

/// Grants shares of a rate and burst as escrow.
class share_pool {
public:
  share_pool(pool_limit Limit, pool_start Start);

  void setLimit(pool_limit Changed, instant Now);

  /// Takes back what a request returns and grants a share. The caller fills in
  /// the grant's account, pool, epoch and limit.
  /// \param HoldTime how long the share counts as held.
  share_grant grant(const vm_incarnation &Holder, const share_request &Request,
                    instant RequestedAt, const split_policy &Policy,
                    duration HoldTime, instant Now);

  /// Enlarges shares that are below the holder's fair share, as far as there is
  /// spare capacity. While a holder remains short, shrinks shares that are well
  /// above the fair share, at most once per \p RecallInterval for each holder.
  std::vector<share_change> rebalance(duration RecallInterval, instant Now);

  /// Tokens that can be granted now.
  double level() const { return Level; }
  /// Sum over all holders of the largest share that may be in use.
  pool_limit held() const;

private:
  struct granted_share {
    share_version Version;
    pool_limit Share;
    instant HeldUntil;
  };
  struct holder_state {
    std::vector<granted_share> Granted; ///< In ascending order of version.
    double Demand = 0;
    instant DemandUntil;
    instant RequestedAt;
    instant RecalledAt;
    double Level = 0; ///< Tokens left, as last reported by the holder.

    /// Whether the current share is noticeably smaller than \p FairShare.
    bool isBelow(const pool_limit &FairShare) const;
  };
  using entry = std::map<vm_incarnation, holder_state>::value_type;

  void advance(instant Now);
  void applyReturns(holder_state &State, const share_request &Request);
  pool_limit fairShareOf(const holder_state &State) const;
  pool_limit availableTo(const holder_state &State) const;
  void enlarge(entry &Entry, std::vector<share_change> &Out);
  void recall(entry &Entry, duration RecallInterval, instant Now,
              std::vector<share_change> &Out);
  static pool_limit heldBy(const holder_state &State);
  double demandWeightOf(const holder_state &State) const;
  share_grant recordGrant(holder_state &State, pool_limit Share, double Tokens,
                          instant HeldUntil);

  pool_limit Limit;
  double Level = 0;
  /// Version of the latest share granted to any holder; versions are unique.
  share_version LastVersion;
  instant AdvancedTo;
  instant UsableFrom;
  std::map<vm_incarnation, holder_state> Holders;
};

} // namespace peridot
