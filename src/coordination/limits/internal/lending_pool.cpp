#include "coordination/limits/lending_pool.h"

#include <algorithm>
#include <cmath>

#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

/// Part of the pool's rate added to each reported demand, so that a borrower
/// with next to no demand gets a useful share.
constexpr double LeastWantFraction = 0.02;
/// A bucket that holds less than one token admits nothing.
constexpr double LeastUsefulBurst = 1;
/// Shares with a lower rate, per second, are not lent.
constexpr double LeastUsefulRate = 1e-3;
/// Shares that differ from what is due by less than this factor are left alone.
constexpr double NoticeableFactor = 1.25;
/// Shares of one borrower that are told apart; older ones are merged.
constexpr std::size_t MaxLentShares = 8;

pool_limit larger(const pool_limit &Left, const pool_limit &Right) {
  return {.Rate = std::max(Left.Rate, Right.Rate),
          .Burst = std::max(Left.Burst, Right.Burst)};
}

pool_limit smaller(const pool_limit &Left, const pool_limit &Right) {
  return {.Rate = std::min(Left.Rate, Right.Rate),
          .Burst = std::min(Left.Burst, Right.Burst)};
}

/// The value that survives the encoding as a 32-bit float, rounded down.
double roundDown(double Value) {
  const auto Nearest = static_cast<float>(std::max(0.0, Value));
  if (static_cast<double>(Nearest) <= Value)
    return Nearest;
  return std::nextafter(Nearest, 0.0F);
}

pool_limit usable(const pool_limit &Share) {
  if (Share.Burst < LeastUsefulBurst || Share.Rate < LeastUsefulRate)
    return {};
  return {.Rate = roundDown(Share.Rate), .Burst = roundDown(Share.Burst)};
}

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

lending_pool::lending_pool(pool_limit Limit, pool_start Start)
    : Limit(Limit), Level(Start.Full ? Limit.Burst : 0),
      AdvancedTo(Start.UsableFrom), UsableFrom(Start.UsableFrom) {}

pool_limit lending_pool::heldBy(const borrower_account &Account) {
  pool_limit Held;
  for (const lent_share &Lent : Account.Lent)
    Held = larger(Held, Lent.Share);
  return Held;
}

pool_limit lending_pool::held() const {
  pool_limit Sum;
  for (const auto &[Borrower, Account] : Borrowers) {
    const pool_limit Held = heldBy(Account);
    Sum.Rate += Held.Rate;
    Sum.Burst += Held.Burst;
  }
  return Sum;
}

void lending_pool::setLimit(pool_limit Changed, instant Now) {
  advance(Now);
  Limit = Changed;
  Level = std::clamp(Limit.Burst - held().Burst, 0.0, Level);
}

void lending_pool::advance(instant Now) {
  if (Now <= AdvancedTo)
    return;
  // Shares that end within the span count as held to its end: less refill.
  const pool_limit Held = held();
  Level += std::max(0.0, Limit.Rate - Held.Rate) * seconds(Now - AdvancedTo);
  AdvancedTo = Now;
  for (auto &[Borrower, Account] : Borrowers)
    std::erase_if(Account.Lent, [Now](const lent_share &Lent) {
      return Lent.HeldUntil <= Now;
    });
  std::erase_if(Borrowers, [Now](const auto &Entry) {
    return Entry.second.Lent.empty() && Entry.second.DemandUntil <= Now;
  });
  Level = std::min(Level, std::max(0.0, Limit.Burst - Held.Burst));
}

void lending_pool::settle(borrower_account &Account,
                          const share_request &Request) {
  // Tokens come back only out of a share that still counts as held.
  double Returnable = 0;
  for (const lent_share &Lent : Account.Lent)
    if (Lent.Version < Request.DeadBelow)
      Returnable = std::max(Returnable, Lent.Share.Burst);
  std::erase_if(Account.Lent, [&](const lent_share &Lent) {
    return Lent.Version < Request.DeadBelow;
  });
  Level += std::clamp(Request.Returned, 0.0, Returnable);
  Level = std::min(Level, std::max(0.0, Limit.Burst - held().Burst));
}

double lending_pool::wantOf(const borrower_account &Account) const {
  if (Account.Demand <= 0)
    return 0;
  return Account.Demand + Limit.Rate * LeastWantFraction;
}

pool_limit lending_pool::due(const borrower_account &Account) const {
  double Wanted = 0;
  for (const auto &[Borrower, Other] : Borrowers)
    Wanted += wantOf(Other);
  const double Want = wantOf(Account);
  if (Want <= 0)
    return {};
  const double Part = Want / Wanted;
  return {.Rate = Limit.Rate * Part,
          .Burst = std::max(LeastUsefulBurst, Limit.Burst * Part)};
}

pool_limit lending_pool::available(const borrower_account &Account) const {
  const pool_limit All = held();
  const pool_limit Own = heldBy(Account);
  return {.Rate = std::max(0.0, Limit.Rate - (All.Rate - Own.Rate)),
          .Burst = std::max(0.0, Limit.Burst - (All.Burst - Own.Burst))};
}

share_grant lending_pool::record(borrower_account &Account, pool_limit Share,
                                 double Tokens, instant HeldUntil) {
  Last = Last.next();
  Level -= Tokens;
  if (Account.Lent.size() >= MaxLentShares) {
    lent_share &Second = Account.Lent[1];
    Second.Share = larger(Second.Share, Account.Lent[0].Share);
    Second.HeldUntil = std::max(Second.HeldUntil, Account.Lent[0].HeldUntil);
    Account.Lent.erase(Account.Lent.begin());
  }
  Account.Lent.push_back({Last, Share, HeldUntil});
  Level = std::min(Level, std::max(0.0, Limit.Burst - held().Burst));
  return {.Version = Last,
          .Rate = Share.Rate,
          .Burst = Share.Burst,
          .Tokens = Tokens};
}

share_grant lending_pool::lend(const vm_incarnation &Borrower,
                               const share_request &Request,
                               instant RequestedAt, const split_policy &Policy,
                               duration Hold, instant Now) {
  advance(Now);
  borrower_account &Account = Borrowers[Borrower];
  settle(Account, Request);
  Account.Demand = std::max(0.0, Request.Demand);
  Account.DemandUntil = Now + Hold;
  Account.RequestedAt = RequestedAt;
  Account.Level = std::max(0.0, Request.Level);
  const pool_limit Due = std::visit(
      overloaded{[&](const split_by_demand &) { return due(Account); },
                 [&](const split_equally &Equal) {
                   const auto Parts = static_cast<double>(Equal.Holders);
                   return pool_limit{Limit.Rate / Parts, Limit.Burst / Parts};
                 }},
      Policy);
  pool_limit Share = usable(smaller(Due, available(Account)));
  if (Now < UsableFrom)
    Share = {};
  const double Missing = Share.Burst - Account.Level;
  const double Tokens = roundDown(std::clamp(Missing, 0.0, Level));
  return record(Account, Share, Tokens, Now + Hold);
}

bool lending_pool::borrower_account::lacks(const pool_limit &Due) const {
  const pool_limit Now = Lent.empty() ? pool_limit{} : Lent.back().Share;
  return Now.Rate * NoticeableFactor < Due.Rate;
}

void lending_pool::enlarge(entry &Entry, std::vector<share_change> &Out) {
  borrower_account &Account = Entry.second;
  const pool_limit Share = usable(smaller(due(Account), available(Account)));
  if (Account.Lent.empty() || !Account.lacks(Share))
    return;
  const double Missing = Share.Burst - Account.Level;
  const double Tokens = roundDown(std::clamp(Missing, 0.0, Level));
  // An unasked share ends no later than the one it replaces.
  const instant Until = Account.Lent.back().HeldUntil;
  Out.push_back({Entry.first, Account.RequestedAt,
                 record(Account, Share, Tokens, Until)});
}

void lending_pool::recall(entry &Entry, duration Pause, instant Now,
                          std::vector<share_change> &Out) {
  borrower_account &Account = Entry.second;
  const pool_limit Due = due(Account);
  const pool_limit Held = heldBy(Account);
  const bool Excess = Held.Rate > Due.Rate * NoticeableFactor ||
                      Held.Burst > Due.Burst * NoticeableFactor;
  if (!Excess || Now < Account.RecalledAt + Pause)
    return;
  Account.RecalledAt = Now;
  const instant Until = Account.Lent.back().HeldUntil;
  Out.push_back({Entry.first, Account.RequestedAt,
                 record(Account, usable(smaller(Due, Held)), 0, Until)});
}

std::vector<share_change> lending_pool::rebalance(duration Pause, instant Now) {
  std::vector<share_change> Changes;
  if (Now < UsableFrom)
    return Changes;
  for (entry &Entry : Borrowers)
    enlarge(Entry, Changes);
  const bool Lacking = std::ranges::any_of(Borrowers, [&](const entry &Entry) {
    return Entry.second.lacks(due(Entry.second));
  });
  if (!Lacking)
    return Changes;
  for (entry &Entry : Borrowers)
    recall(Entry, Pause, Now, Changes);
  return Changes;
}

} // namespace peridot
