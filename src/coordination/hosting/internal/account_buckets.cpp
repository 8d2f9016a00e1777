#include "coordination/hosting/account_buckets.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

/// Least rate from which the time to the next request is worked out.
constexpr double LeastRate = 0.01;

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void account_buckets::token_bucket::refill(instant Now) {
  double Rate = Limit.RequestsPerSecond;
  if (Window > duration{0} && Now >= WholeFrom)
    Rate += Again / seconds(Window);
  const double Elapsed = std::max(0.0, seconds(Now - At));
  Tokens = std::min(Limit.Burst, Tokens + Elapsed * Rate);
  At = std::max(At, Now);
}

void account_buckets::token_bucket::setWindow(duration Length, double More,
                                              instant Now) {
  refill(Now);
  Again = More;
  if (Length == Window)
    return;
  Window = Length;
  WholeFrom = Now + Length;
  Taken.setWindow(Length);
}

bool account_buckets::token_bucket::windowIsFull(instant Now) {
  return Window > duration{0} &&
         Taken.within(Now) + 1 >
             Limit.RequestsPerSecond * seconds(Window) + Limit.Burst;
}

void account_buckets::token_bucket::configure(const rate_limit &Replacing,
                                              double First, instant Now) {
  refill(Now);
  // Other VMs may have used the tokens that a part gains by growing.
  const bool WasLimited = Limit.Burst > 0;
  Tokens = std::min(WasLimited ? Tokens : First, Replacing.Burst);
  Limit = Replacing;
}

bool account_buckets::token_bucket::take(instant Now) {
  refill(Now);
  if (Tokens < 1 || windowIsFull(Now))
    return false;
  Tokens -= 1;
  Taken.note(Now);
  return true;
}

bool account_buckets::home_answers::take() {
  if (Count == 0)
    return false;
  --Count;
  Old = std::min(Old, Count);
  return true;
}

void account_buckets::home_answers::age() {
  Count -= Old;
  Old = Count;
}

void account_buckets::configure(std::span<const account_part> Parts,
                                instant Now) {
  const std::lock_guard Lock(Mutex);
  for (auto &[Name, Bucket] : Buckets)
    Bucket.IsLimited = false;
  for (const account_part &Part : Parts) {
    bucket &Bucket = Buckets[Part.Account];
    Bucket.Given.age();
    Bucket.Declined.age();
    Bucket.Whole = Part.Whole;
    Bucket.Home = Part.Home;
    Bucket.Own.configure(Part.Limit, Part.AtFirst, Now);
    Bucket.Kept.configure(Part.Kept, Part.KeptAtFirst, Now);
    Bucket.Kept.setWindow(Part.KeptWindow, Part.KeptAgain, Now);
    Bucket.IsLimited = true;
  }
}

rate_decision account_buckets::take(const account_name &Account,
                                    rate_question Question, instant Now) {
  const std::lock_guard Lock(Mutex);
  bucket &Bucket = Buckets[Account];
  if (Question == rate_question::First)
    ++Bucket.Asked;
  // What the home gave is for those who have asked.
  const bool HasAsked = Question != rate_question::First;
  if (!Bucket.IsLimited || Bucket.Own.take(Now) || Bucket.Kept.take(Now) ||
      (HasAsked && Bucket.Given.take()))
    return rate_admitted{};
  // With the whole limit at the home, the home's next token is what counts.
  const token_bucket &Own = Bucket.Own;
  const double Rate = Own.Limit.RequestsPerSecond > 0
                          ? Own.Limit.RequestsPerSecond
                          : Bucket.Whole.RequestsPerSecond;
  const double Seconds = (1 - Own.Tokens) / std::max(Rate, LeastRate);
  return rate_refused{.RetryAfter = std::chrono::milliseconds(
                          static_cast<std::int64_t>(Seconds * 1'000) + 1),
                      .ShareRequested = Question != rate_question::Look ||
                                        !Bucket.Declined.take(),
                      .Part = Own.Limit,
                      .Home = Bucket.Home};
}

unsigned account_buckets::giveAway(const account_name &Account,
                                   unsigned Requests, instant Now) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Buckets.find(Account);
  unsigned Given = 0;
  while (Found != Buckets.end() && Given < Requests &&
         Found->second.Kept.take(Now))
    ++Given;
  return Given;
}

void account_buckets::receive(const account_name &Account, unsigned Requests) {
  const std::lock_guard Lock(Mutex);
  bucket &Bucket = Buckets[Account];
  Bucket.Given.add(Requests);
  if (Requests == 0)
    Bucket.Declined.add(1);
}

std::vector<account_demand> account_buckets::takeDemand(duration Period) {
  const double Seconds = std::chrono::duration<double>(Period).count();
  const std::lock_guard Lock(Mutex);
  std::vector<account_demand> Demands;
  for (auto &[Name, Bucket] : Buckets)
    if (const unsigned Asked = std::exchange(Bucket.Asked, 0))
      Demands.push_back({.Account = Name, .PerSecond = Asked / Seconds});
  return Demands;
}

} // namespace peridot
