#include "coordination/limits/share_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

/// Time constant of the exponential smoothing of demand.
constexpr std::chrono::milliseconds DemandWindow{250};
/// Bounds of the delay between two requests for a larger share. The delay
/// doubles with each request that brings no larger share.
constexpr std::chrono::milliseconds MinRetryDelay{100};
constexpr std::chrono::milliseconds MaxRetryDelay{400};
/// Minimum time from the last request to the report of a drop in demand.
constexpr std::chrono::milliseconds DropReportDelay{300};
/// A drop in demand by this fraction of the account's rate is reported.
constexpr double ReportedDropFraction = 0.1;
/// A share counts as grown if its rate exceeds the previous rate by this
/// factor, and as shrunk if the previous rate exceeds the new one by this
/// factor.
constexpr double GrowthFactor = 1.1;
/// Minimum time between two requests for a share of the reserve.
constexpr std::chrono::seconds ReserveRetryDelay{10};
/// Demand below which a share is returned, in requests per second.
constexpr double IdleDemand = 0.02;
/// A share is too small if demand exceeds its rate by this factor.
constexpr double ShortageFactor = 1.5;
/// Shares are renewed when less than this fraction of their validity is left.
constexpr double RenewalFraction = 0.5;
/// Allowance for the rounding of limits that are sent as 32-bit floats.
constexpr double RoundingFactor = 1 - 1e-6;

/// Returns the fraction of a share that may be used: less than 1 if this VM
/// knows a lower limit than the owner did.
double capFactor(double OwnLimit, double OwnerLimit) {
  return OwnLimit >= OwnerLimit * RoundingFactor
             ? 1
             : OwnLimit / OwnerLimit * RoundingFactor;
}

} // namespace

void share_holder::configure(std::span<const limited_account> Changed,
                             instant Now) {
  std::map<account_id, account_entry> Next;
  auto Table = std::make_shared<share_table>();
  for (const limited_account &Account : Changed) {
    const auto Known = Accounts.find(Account.Id);
    account_entry Entry;
    if (Known != Accounts.end() && Known->second.Limit.Name == Account.Name)
      Entry = Known->second;
    else
      Entry.Share = std::make_shared<account_share>();
    Entry.Limit = Account;
    Entry.Shard = shardOf(Account.Name);
    capToLimit(Entry, pool_kind::Main, Now);
    capToLimit(Entry, pool_kind::Reserve, Now);
    // If two account names have the same id, only the first gets a share.
    if (Next.try_emplace(Account.Id, Entry).second)
      Table->emplace(Account.Name, Entry.Share);
  }
  Accounts = std::move(Next);
  Directory.replace(std::move(Table));
}

void share_holder::setReserveAccounts(
    std::span<const account_id> ReserveAccounts) {
  for (auto &[Id, Entry] : Accounts)
    Entry.HoldsReserve = false;
  for (const account_id Id : ReserveAccounts)
    if (const auto Found = Accounts.find(Id); Found != Accounts.end())
      Found->second.HoldsReserve = true;
}

void share_holder::capToLimit(account_entry &Entry, pool_kind Pool,
                              instant Now) {
  held_share &Share = shareOf(Entry, Pool);
  if (!isInUse(Share, Now))
    return;
  const pool_limit Capped{
      Share.Granted.Rate * capFactor(Entry.Limit.Rate, Share.OwnerLimit.Rate),
      Share.Granted.Burst *
          capFactor(Entry.Limit.Burst, Share.OwnerLimit.Burst)};
  if (Capped == Share.Effective)
    return;
  Share.Effective = Capped;
  share_bucket &Bucket = Entry.Share->bucketOf(Pool);
  const double Level = Bucket.close(Now);
  Bucket.open({Capped, Level, Share.ValidUntil}, Now);
}

void share_holder::updateDemand(account_entry &Entry, duration Span) {
  const std::uint64_t Attempts = Entry.Share->attempts();
  const std::uint64_t Refusals = Entry.Share->refusals();
  const double Elapsed = std::chrono::duration<double>(Span).count();
  if (Elapsed > 0) {
    const double Rate =
        static_cast<double>(Attempts - Entry.SeenAttempts) / Elapsed;
    const double Window = std::chrono::duration<double>(DemandWindow).count();
    const double Weight = 1 - std::exp(-Elapsed / Window);
    Entry.Demand += Weight * (Rate - Entry.Demand);
  }
  Entry.RefusedSinceRequest =
      Entry.RefusedSinceRequest || Refusals > Entry.SeenRefusals;
  Entry.SeenAttempts = Attempts;
  Entry.SeenRefusals = Refusals;
}

bool share_holder::isMainRequestDue(const account_entry &Entry,
                                    instant Now) const {
  const held_share &Share = Entry.Main;
  if (Share.ConfirmationDue)
    return true;
  const bool HoldsShare = isInUse(Share, Now);
  if (Entry.Demand < IdleDemand)
    return HoldsShare;
  const bool IsShort = !HoldsShare || Entry.RefusedSinceRequest ||
                       Entry.Demand > Share.Effective.Rate * ShortageFactor;
  if (IsShort)
    return Now >= Share.LastRequestAt + Share.RetryDelay;
  const bool HasDropped =
      Entry.Demand + Entry.Limit.Rate * ReportedDropFraction <
      Entry.ReportedDemand;
  if (HasDropped && Now >= Share.LastRequestAt + DropReportDelay)
    return true;
  const auto Validity = static_cast<double>(Options.MainValidity.count());
  const duration Renewal(
      static_cast<duration::rep>(Validity * RenewalFraction));
  return Share.ValidUntil - Now < Renewal &&
         Now >= Share.LastRequestAt + MinRetryDelay;
}

bool share_holder::isReserveRequestDue(const account_entry &Entry,
                                       instant Now) const {
  const held_share &Share = Entry.Reserve;
  if (Share.ConfirmationDue)
    return true;
  const auto Validity = static_cast<double>(Options.ReserveValidity.count());
  const duration Renewal(
      static_cast<duration::rep>(Validity * RenewalFraction));
  const bool NeedsRenewal =
      !isInUse(Share, Now) || Share.ValidUntil - Now < Renewal;
  return Entry.HoldsReserve && NeedsRenewal &&
         Now >= Share.LastRequestAt + ReserveRetryDelay;
}

share_request share_holder::makeRequest(account_entry &Entry, pool_kind Pool,
                                        epoch Owner, instant Now) {
  held_share &Share = shareOf(Entry, Pool);
  share_bucket &Bucket = Entry.Share->bucketOf(Pool);
  share_request Request{.Account = Entry.Limit.Id,
                        .Pool = Pool,
                        .Epoch = Owner,
                        .ReleasedBelow = Share.ReleasedBelow,
                        .Demand = Entry.Demand,
                        .Level = Bucket.level(Now),
                        .Returned = std::exchange(Share.SurplusTokens, 0)};
  const bool Returns = Pool == pool_kind::Main && Entry.Demand < IdleDemand;
  if (Returns) {
    Request.Demand = 0;
    Request.Level = 0;
    Request.Returned += Bucket.close(Now);
    Share.Effective = {};
    Share.ReleasedBelow = Share.Version.next();
    Request.ReleasedBelow = Share.ReleasedBelow;
  }
  if (Share.Epoch != Owner) {
    Request.ReleasedBelow = {};
    Request.Level = 0;
    Request.Returned = 0;
  }
  if (Request.Returned > 0)
    Share.ReturnedAt = Now;
  Share.LastRequestAt = Now;
  Share.RetryDelay =
      Entry.RefusedSinceRequest
          ? std::min<duration>(2 * Share.RetryDelay, MaxRetryDelay)
          : MinRetryDelay;
  Share.ConfirmationDue = false;
  if (Pool == pool_kind::Main) {
    Entry.RefusedSinceRequest = false;
    Entry.ReportedDemand = Request.Demand;
  }
  return Request;
}

std::vector<addressed_requests> share_holder::poll(const shard_map &Owners,
                                                   instant Now) {
  const duration Span = PolledAt == instant{} ? duration{} : Now - PolledAt;
  PolledAt = Now;
  std::map<vm_name, share_request_batch> Batches;
  for (auto &Each : Accounts) {
    account_entry &Entry = Each.second;
    updateDemand(Entry, Span);
    const auto &Owner = Owners.at(Entry.Shard);
    if (!Owner)
      continue;
    const auto Add = [&](pool_kind Pool) {
      Batches[Owner->Owner.Vm].Requests.push_back(
          makeRequest(Entry, Pool, Owner->Epoch, Now));
    };
    if (isMainRequestDue(Entry, Now))
      Add(pool_kind::Main);
    if (isReserveRequestDue(Entry, Now))
      Add(pool_kind::Reserve);
  }
  std::vector<addressed_requests> Out;
  for (auto &[Owner, Batch] : Batches) {
    Batch.Sequence = ++Sequence;
    Batch.SentAt = Now;
    Out.push_back({Owner, std::move(Batch)});
  }
  return Out;
}

void share_holder::receive(const share_grant_batch &Batch, instant Now) {
  if (Batch.Holder != Self)
    return;
  for (const share_grant &Grant : Batch.Grants)
    if (const auto Found = Accounts.find(Grant.Account);
        Found != Accounts.end())
      apply(Found->second, Grant, Batch.RequestedAt, Now);
}

void share_holder::apply(account_entry &Entry, const share_grant &Grant,
                         instant RequestedAt, instant Now) {
  held_share &Share = shareOf(Entry, Grant.Pool);
  const instant ValidUntil = RequestedAt + Options.validityOf(Grant.Pool);
  const bool SameEpoch = Grant.Epoch == Share.Epoch;
  if (Grant.Epoch < Share.Epoch || Now >= ValidUntil || RequestedAt > Now)
    return;
  if (SameEpoch &&
      Grant.Version < std::max(Share.Version.next(), Share.ReleasedBelow))
    return;
  if (SameEpoch && RequestedAt < Share.ReturnedAt)
    return;
  // A new owner that cannot grant shares yet does not revoke the current one.
  if (!SameEpoch && Grant.Rate <= 0 && isInUse(Share, Now))
    return;
  share_bucket &Bucket = Entry.Share->bucketOf(Grant.Pool);
  const double Left = Bucket.close(Now);
  const double Kept = SameEpoch ? Left : 0;
  Share.Epoch = Grant.Epoch;
  Share.Version = Grant.Version;
  Share.ReleasedBelow = Grant.Version;
  // Confirms a smaller share so that the owner can grant the rest to others.
  Share.ConfirmationDue = Grant.Rate * GrowthFactor < Share.Effective.Rate;
  if (Grant.Rate > Share.Effective.Rate * GrowthFactor)
    Share.RetryDelay = MinRetryDelay;
  Share.Granted = {Grant.Rate, Grant.Burst};
  Share.OwnerLimit = {Grant.LimitRate, Grant.LimitBurst};
  Share.ValidUntil = ValidUntil;
  Share.Effective = {Grant.Rate * capFactor(Entry.Limit.Rate, Grant.LimitRate),
                     Grant.Burst *
                         capFactor(Entry.Limit.Burst, Grant.LimitBurst)};
  const double Level = Kept + Grant.Tokens;
  Share.SurplusTokens = std::max(0.0, Level - Share.Effective.Burst);
  Bucket.open({Share.Effective, Level, ValidUntil}, Now);
}

} // namespace peridot
