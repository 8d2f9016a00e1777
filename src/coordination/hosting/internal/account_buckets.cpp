#include "coordination/hosting/account_buckets.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

/// Minimum rate assumed in the estimate of the time to the next token, in
/// requests per second.
constexpr double MinRate = 0.01;
/// Smallest idle part of a limit that counts, in requests per second. Demand
/// that changes a little leaves less than this.
constexpr double MinIdlePerSecond = 0.5;

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

account_buckets::account_buckets(const account_buckets &Other)
    : Lease(Other.Lease) {
  const std::lock_guard Lock(Other.Mutex);
  ConfiguredAt = Other.ConfiguredAt;
  Buckets = Other.Buckets;
  RefusalsBesideIdlePart = Other.RefusalsBesideIdlePart;
}

void account_buckets::token_bucket::refill(instant Now) {
  double Rate = Limit.RequestsPerSecond;
  if (Window > duration{0} && Now >= BurstRefillsFrom)
    Rate += BurstPerWindow / seconds(Window);
  const double Elapsed = std::max(0.0, seconds(Now - RefilledAt));
  Tokens = std::min(Limit.Burst, Tokens + Elapsed * Rate);
  RefilledAt = std::max(RefilledAt, Now);
}

void account_buckets::token_bucket::setWindow(duration Length,
                                              double NewBurstPerWindow,
                                              instant Now) {
  refill(Now);
  BurstPerWindow = NewBurstPerWindow;
  if (Length == Window)
    return;
  Window = Length;
  BurstRefillsFrom = Now + Length;
  TakenInWindow.setWindow(Length);
}

bool account_buckets::token_bucket::isWindowFull(instant Now) {
  return Window > duration{0} &&
         TakenInWindow.count(Now) + 1 >
             Limit.RequestsPerSecond * seconds(Window) + Limit.Burst;
}

void account_buckets::token_bucket::configure(const rate_limit &NewLimit,
                                              double InitialTokens,
                                              instant Now) {
  refill(Now);
  // A share that grows gains no tokens: other VMs may have used them.
  const bool WasLimited = Limit.Burst > 0;
  Tokens = std::min(WasLimited ? Tokens : InitialTokens, NewLimit.Burst);
  Limit = NewLimit;
}

bool account_buckets::token_bucket::take(instant Now) {
  refill(Now);
  if (Tokens < 1 || isWindowFull(Now))
    return false;
  Tokens -= 1;
  TakenInWindow.note(Now);
  return true;
}

bool account_buckets::primary_responses::take() {
  if (Count == 0)
    return false;
  --Count;
  OldCount = std::min(OldCount, Count);
  return true;
}

void account_buckets::primary_responses::age() {
  Count -= OldCount;
  OldCount = Count;
}

void account_buckets::configure(std::span<const account_limit_share> Shares,
                                instant Now, unused_responses Responses) {
  const std::lock_guard Lock(Mutex);
  for (auto &[Name, Bucket] : Buckets)
    Bucket.IsLimited = false;
  for (const account_limit_share &Share : Shares) {
    bucket &Bucket = Buckets[Share.Account];
    // Others may have used what this VM did not.
    if (isLeaseOver(Now))
      Bucket.OwnShare = Bucket.Reserve = {};
    if (Responses == unused_responses::Age) {
      Bucket.Granted.age();
      Bucket.Denied.age();
    }
    Bucket.AccountLimit = Share.AccountLimit;
    Bucket.ExpectedPerSecond = Share.ExpectedPerSecond;
    Bucket.Primary = Share.Primary;
    Bucket.OwnShare.configure(Share.Limit, Share.InitialTokens, Now);
    Bucket.Reserve.configure(Share.Reserve, Share.InitialReserveTokens, Now);
    Bucket.Reserve.setWindow(Share.ReserveWindow, Share.ReserveBurstPerWindow,
                             Now);
    Bucket.IsLimited = true;
    Bucket.HasIdlePart = Share.IdlePerSecond >= MinIdlePerSecond;
  }
  ConfiguredAt = Now;
}

rate_decision account_buckets::take(const account_name &Account,
                                    rate_check Check, instant Now) {
  const std::lock_guard Lock(Mutex);
  bucket &Bucket = Buckets[Account];
  if (Check == rate_check::First)
    ++Bucket.RequestCount;
  // Grants are for requests that were refused and requested one.
  const bool HasRequested = Check != rate_check::First;
  const bool HasShare = !isLeaseOver(Now) &&
                        (Bucket.OwnShare.take(Now) || Bucket.Reserve.take(Now));
  if (!Bucket.IsLimited || HasShare || (HasRequested && Bucket.Granted.take()))
    return rate_admitted{};
  if (Bucket.HasIdlePart && !HasRequested)
    ++RefusalsBesideIdlePart;
  // Without an own share, the estimate follows the primary's rate, which is
  // that of the whole limit.
  const token_bucket &OwnShare = Bucket.OwnShare;
  const double Rate = OwnShare.Limit.RequestsPerSecond > 0
                          ? OwnShare.Limit.RequestsPerSecond
                          : Bucket.AccountLimit.RequestsPerSecond;
  const double Seconds = (1 - OwnShare.Tokens) / std::max(Rate, MinRate);
  return rate_refused{.RetryAfter = std::chrono::milliseconds(
                          static_cast<std::int64_t>(Seconds * 1'000) + 1),
                      .ExpectedPerSecond = Bucket.ExpectedPerSecond,
                      .ShareRequested =
                          Check != rate_check::Poll || !Bucket.Denied.take(),
                      .Share = OwnShare.Limit,
                      .Primary = Bucket.Primary};
}

unsigned account_buckets::grantFromReserve(const account_name &Account,
                                           unsigned Requests, instant Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Buckets.find(Account);
  unsigned Granted = 0;
  while (Found != Buckets.end() && !isLeaseOver(Now) && Granted < Requests &&
         Found->second.Reserve.take(Now))
    ++Granted;
  if (Granted < Requests && Found != Buckets.end() && Found->second.HasIdlePart)
    RefusalsBesideIdlePart += Requests - Granted;
  return Granted;
}

void account_buckets::addGrant(const account_name &Account, unsigned Requests) {
  const std::lock_guard Lock(Mutex);
  bucket &Bucket = Buckets[Account];
  Bucket.Granted.add(Requests);
  if (Requests == 0)
    Bucket.Denied.add(1);
}

std::vector<account_demand> account_buckets::takeDemand(duration Period) {
  const double Seconds = std::chrono::duration<double>(Period).count();
  const std::lock_guard Lock(Mutex);
  std::vector<account_demand> Demands;
  for (auto &[Name, Bucket] : Buckets)
    if (const unsigned RequestCount = std::exchange(Bucket.RequestCount, 0))
      Demands.push_back({.Account = Name, .PerSecond = RequestCount / Seconds});
  return Demands;
}

unsigned account_buckets::takeRefusalsBesideIdlePart() {
  const std::lock_guard Lock(Mutex);
  return std::exchange(RefusalsBesideIdlePart, 0);
}

} // namespace peridot
