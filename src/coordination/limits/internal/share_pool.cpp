#include "coordination/limits/share_pool.h"

#include <algorithm>
#include <cmath>

#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

/// Fraction of the pool's rate that is added to each reported demand, so that a
/// holder with very low demand gets a useful share.
constexpr double MinWeightFraction = 0.02;
/// A bucket that holds less than one token admits nothing.
constexpr double MinUsefulBurst = 1;
/// Shares with a lower rate, in requests per second, are not granted.
constexpr double MinUsefulRate = 1e-3;
/// Shares that differ from the fair share by less than this factor are left
/// unchanged.
constexpr double NoticeableFactor = 1.25;
/// Maximum number of shares that are tracked per holder; beyond it the two
/// oldest are merged.
constexpr std::size_t MaxTrackedShares = 8;

pool_limit larger(const pool_limit &Left, const pool_limit &Right) {
  return {.Rate = std::max(Left.Rate, Right.Rate),
          .Burst = std::max(Left.Burst, Right.Burst)};
}

pool_limit smaller(const pool_limit &Left, const pool_limit &Right) {
  return {.Rate = std::min(Left.Rate, Right.Rate),
          .Burst = std::min(Left.Burst, Right.Burst)};
}

/// Rounds down to a value that is unchanged by encoding as a 32-bit float.
double roundDown(double Value) {
  const auto Nearest = static_cast<float>(std::max(0.0, Value));
  if (static_cast<double>(Nearest) <= Value)
    return Nearest;
  return std::nextafter(Nearest, 0.0F);
}

pool_limit usable(const pool_limit &Share) {
  if (Share.Burst < MinUsefulBurst || Share.Rate < MinUsefulRate)
    return {};
  return {.Rate = roundDown(Share.Rate), .Burst = roundDown(Share.Burst)};
}

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

share_pool::share_pool(pool_limit Limit, pool_start Start)
    : Limit(Limit), Level(Start.StartsFull ? Limit.Burst : 0),
      AdvancedTo(Start.UsableFrom), UsableFrom(Start.UsableFrom) {}

pool_limit share_pool::heldBy(const holder_state &State) {
  pool_limit Held;
  for (const granted_share &Granted : State.Granted)
    Held = larger(Held, Granted.Share);
  return Held;
}

pool_limit share_pool::held() const {
  pool_limit Sum;
  for (const auto &[Holder, State] : Holders) {
    const pool_limit Held = heldBy(State);
    Sum.Rate += Held.Rate;
    Sum.Burst += Held.Burst;
  }
  return Sum;
}

void share_pool::setLimit(pool_limit Changed, instant Now) {
  advance(Now);
  Limit = Changed;
  Level = std::clamp(Limit.Burst - held().Burst, 0.0, Level);
}

void share_pool::advance(instant Now) {
  if (Now <= AdvancedTo)
    return;
  // Shares that expire within the span count as held until its end, which can
  // only make the refill smaller.
  const pool_limit Held = held();
  Level += std::max(0.0, Limit.Rate - Held.Rate) * seconds(Now - AdvancedTo);
  AdvancedTo = Now;
  for (auto &[Holder, State] : Holders)
    std::erase_if(State.Granted, [Now](const granted_share &Granted) {
      return Granted.HeldUntil <= Now;
    });
  std::erase_if(Holders, [Now](const auto &Entry) {
    return Entry.second.Granted.empty() && Entry.second.DemandUntil <= Now;
  });
  Level = std::min(Level, std::max(0.0, Limit.Burst - Held.Burst));
}

void share_pool::applyReturns(holder_state &State,
                              const share_request &Request) {
  // Tokens are taken back only from a share that still counts as held.
  double Returnable = 0;
  for (const granted_share &Granted : State.Granted)
    if (Granted.Version < Request.ReleasedBelow)
      Returnable = std::max(Returnable, Granted.Share.Burst);
  std::erase_if(State.Granted, [&](const granted_share &Granted) {
    return Granted.Version < Request.ReleasedBelow;
  });
  Level += std::clamp(Request.Returned, 0.0, Returnable);
  Level = std::min(Level, std::max(0.0, Limit.Burst - held().Burst));
}

double share_pool::demandWeightOf(const holder_state &State) const {
  if (State.Demand <= 0)
    return 0;
  return State.Demand + Limit.Rate * MinWeightFraction;
}

pool_limit share_pool::fairShareOf(const holder_state &State) const {
  double TotalWeight = 0;
  for (const auto &[Holder, Other] : Holders)
    TotalWeight += demandWeightOf(Other);
  const double Weight = demandWeightOf(State);
  if (Weight <= 0)
    return {};
  const double Fraction = Weight / TotalWeight;
  return {.Rate = Limit.Rate * Fraction,
          .Burst = std::max(MinUsefulBurst, Limit.Burst * Fraction)};
}

pool_limit share_pool::availableTo(const holder_state &State) const {
  const pool_limit All = held();
  const pool_limit Own = heldBy(State);
  return {.Rate = std::max(0.0, Limit.Rate - (All.Rate - Own.Rate)),
          .Burst = std::max(0.0, Limit.Burst - (All.Burst - Own.Burst))};
}

share_grant share_pool::recordGrant(holder_state &State, pool_limit Share,
                                    double Tokens, instant HeldUntil) {
  LastVersion = LastVersion.next();
  Level -= Tokens;
  if (State.Granted.size() >= MaxTrackedShares) {
    granted_share &Second = State.Granted[1];
    Second.Share = larger(Second.Share, State.Granted[0].Share);
    Second.HeldUntil = std::max(Second.HeldUntil, State.Granted[0].HeldUntil);
    State.Granted.erase(State.Granted.begin());
  }
  State.Granted.push_back({LastVersion, Share, HeldUntil});
  Level = std::min(Level, std::max(0.0, Limit.Burst - held().Burst));
  return {.Version = LastVersion,
          .Rate = Share.Rate,
          .Burst = Share.Burst,
          .Tokens = Tokens};
}

share_grant share_pool::grant(const vm_incarnation &Holder,
                              const share_request &Request, instant RequestedAt,
                              const split_policy &Policy, duration HoldTime,
                              instant Now) {
  advance(Now);
  holder_state &State = Holders[Holder];
  applyReturns(State, Request);
  State.Demand = std::max(0.0, Request.Demand);
  State.DemandUntil = Now + HoldTime;
  State.RequestedAt = RequestedAt;
  State.Level = std::max(0.0, Request.Level);
  const pool_limit FairShare = std::visit(
      overloaded{[&](const split_by_demand &) { return fairShareOf(State); },
                 [&](const split_equally &Equal) {
                   const auto Count = static_cast<double>(Equal.HolderCount);
                   return pool_limit{Limit.Rate / Count, Limit.Burst / Count};
                 }},
      Policy);
  pool_limit Share = usable(smaller(FairShare, availableTo(State)));
  if (Now < UsableFrom)
    Share = {};
  const double Missing = Share.Burst - State.Level;
  const double Tokens = roundDown(std::clamp(Missing, 0.0, Level));
  return recordGrant(State, Share, Tokens, Now + HoldTime);
}

bool share_pool::holder_state::isBelow(const pool_limit &FairShare) const {
  const pool_limit Current =
      Granted.empty() ? pool_limit{} : Granted.back().Share;
  return Current.Rate * NoticeableFactor < FairShare.Rate;
}

void share_pool::enlarge(entry &Entry, std::vector<share_change> &Out) {
  holder_state &State = Entry.second;
  const pool_limit Share =
      usable(smaller(fairShareOf(State), availableTo(State)));
  if (State.Granted.empty() || !State.isBelow(Share))
    return;
  const double Missing = Share.Burst - State.Level;
  const double Tokens = roundDown(std::clamp(Missing, 0.0, Level));
  // An unrequested share expires no later than the one that it replaces.
  const instant Until = State.Granted.back().HeldUntil;
  Out.push_back({Entry.first, State.RequestedAt,
                 recordGrant(State, Share, Tokens, Until)});
}

void share_pool::recall(entry &Entry, duration RecallInterval, instant Now,
                        std::vector<share_change> &Out) {
  holder_state &State = Entry.second;
  const pool_limit FairShare = fairShareOf(State);
  const pool_limit Held = heldBy(State);
  const bool IsExcessive = Held.Rate > FairShare.Rate * NoticeableFactor ||
                           Held.Burst > FairShare.Burst * NoticeableFactor;
  if (!IsExcessive || Now < State.RecalledAt + RecallInterval)
    return;
  State.RecalledAt = Now;
  const instant Until = State.Granted.back().HeldUntil;
  Out.push_back(
      {Entry.first, State.RequestedAt,
       recordGrant(State, usable(smaller(FairShare, Held)), 0, Until)});
}

std::vector<share_change> share_pool::rebalance(duration RecallInterval,
                                                instant Now) {
  std::vector<share_change> Changes;
  if (Now < UsableFrom)
    return Changes;
  for (entry &Entry : Holders)
    enlarge(Entry, Changes);
  const bool IsAnyBelow = std::ranges::any_of(Holders, [&](const entry &Entry) {
    return Entry.second.isBelow(fairShareOf(Entry.second));
  });
  if (!IsAnyBelow)
    return Changes;
  for (entry &Entry : Holders)
    recall(Entry, RecallInterval, Now, Changes);
  return Changes;
}

} // namespace peridot
