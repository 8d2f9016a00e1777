#include "coordination/limits/borrowing_machine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

/// Time over which demand is smoothed.
constexpr std::chrono::milliseconds DemandWindow{250};
/// Least time between two requests for a share that is too small; doubled for
/// each request that brought no larger share.
constexpr std::chrono::milliseconds LeastPause{100};
constexpr std::chrono::milliseconds MostPause{400};
/// Least time before a fall of demand is reported.
constexpr std::chrono::milliseconds FallenPause{300};
/// A fall of demand by this part of the account's rate is reported.
constexpr double NoticeablePart = 0.1;
/// A share has grown when its rate is above this multiple of the one before.
constexpr double GrownFactor = 1.1;
/// Time between two requests for a reserve that was not granted.
constexpr std::chrono::seconds ReservePause{10};
/// Demand below which a share is given back, in requests per second.
constexpr double IdleDemand = 0.02;
/// A share is too small when demand is above this multiple of its rate.
constexpr double HungryFactor = 1.5;
/// Shares are renewed when less than this part of their term is left.
constexpr double RenewalPart = 0.5;
/// Allowance for limits that travel as 32-bit floats.
constexpr double RoundingPart = 1 - 1e-6;

/// The part of a share that may be used when this VM knows a lower limit than
/// the owner did.
double cutFactor(double Own, double Owners) {
  return Own >= Owners * RoundingPart ? 1 : Own / Owners * RoundingPart;
}

} // namespace

void borrowing_machine::configure(std::span<const limited_account> Changed,
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
    cutToLimit(Entry, pool_kind::Main, Now);
    cutToLimit(Entry, pool_kind::Reserve, Now);
    // Of two accounts with one id, the second gets no share.
    if (Next.try_emplace(Account.Id, Entry).second)
      Table->emplace(Account.Name, Entry.Share);
  }
  Accounts = std::move(Next);
  Directory.replace(std::move(Table));
}

void borrowing_machine::setHomeOf(std::span<const account_id> Homed) {
  for (auto &[Id, Entry] : Accounts)
    Entry.Home = false;
  for (const account_id Id : Homed)
    if (const auto Found = Accounts.find(Id); Found != Accounts.end())
      Found->second.Home = true;
}

void borrowing_machine::cutToLimit(account_entry &Entry, pool_kind Pool,
                                   instant Now) {
  borrowed_share &Share = shareOf(Entry, Pool);
  if (!inUse(Share, Now))
    return;
  const pool_limit Cut{Share.Granted.Rate *
                           cutFactor(Entry.Limit.Rate, Share.GrantedOf.Rate),
                       Share.Granted.Burst *
                           cutFactor(Entry.Limit.Burst, Share.GrantedOf.Burst)};
  if (Cut == Share.InUse)
    return;
  Share.InUse = Cut;
  share_bucket &Bucket = Entry.Share->bucketOf(Pool);
  const double Level = Bucket.close(Now);
  Bucket.open({Cut, Level, Share.ValidUntil}, Now);
}

void borrowing_machine::measure(account_entry &Entry, duration Span) {
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
  Entry.Refused = Entry.Refused || Refusals > Entry.SeenRefusals;
  Entry.SeenAttempts = Attempts;
  Entry.SeenRefusals = Refusals;
}

bool borrowing_machine::mainIsDue(const account_entry &Entry,
                                  instant Now) const {
  const borrowed_share &Share = Entry.Main;
  if (Share.AnswerDue)
    return true;
  const bool Holds = inUse(Share, Now);
  if (Entry.Demand < IdleDemand)
    return Holds;
  const bool Hungry =
      !Holds || Entry.Refused || Entry.Demand > Share.InUse.Rate * HungryFactor;
  if (Hungry)
    return Now >= Share.AskedAt + Share.Pause;
  const bool Fallen =
      Entry.Demand + Entry.Limit.Rate * NoticeablePart < Entry.ReportedDemand;
  if (Fallen && Now >= Share.AskedAt + FallenPause)
    return true;
  const auto Term = static_cast<double>(Options.MainTerm.count());
  const duration Renewal(static_cast<duration::rep>(Term * RenewalPart));
  return Share.ValidUntil - Now < Renewal && Now >= Share.AskedAt + LeastPause;
}

bool borrowing_machine::reserveIsDue(const account_entry &Entry,
                                     instant Now) const {
  const borrowed_share &Share = Entry.Reserve;
  if (Share.AnswerDue)
    return true;
  const auto Term = static_cast<double>(Options.ReserveTerm.count());
  const duration Renewal(static_cast<duration::rep>(Term * RenewalPart));
  const bool Wanting = !inUse(Share, Now) || Share.ValidUntil - Now < Renewal;
  return Entry.Home && Wanting && Now >= Share.AskedAt + ReservePause;
}

share_request borrowing_machine::makeRequest(account_entry &Entry,
                                             pool_kind Pool, epoch Owner,
                                             instant Now) {
  borrowed_share &Share = shareOf(Entry, Pool);
  share_bucket &Bucket = Entry.Share->bucketOf(Pool);
  share_request Request{.Account = Entry.Limit.Id,
                        .Pool = Pool,
                        .Epoch = Owner,
                        .DeadBelow = Share.DeadBelow,
                        .Demand = Entry.Demand,
                        .Level = Bucket.level(Now),
                        .Returned = std::exchange(Share.Excess, 0)};
  const bool Returns = Pool == pool_kind::Main && Entry.Demand < IdleDemand;
  if (Returns) {
    Request.Demand = 0;
    Request.Level = 0;
    Request.Returned += Bucket.close(Now);
    Share.InUse = {};
    Share.DeadBelow = Share.Version.next();
    Request.DeadBelow = Share.DeadBelow;
  }
  if (Share.Epoch != Owner) {
    Request.DeadBelow = {};
    Request.Level = 0;
    Request.Returned = 0;
  }
  if (Request.Returned > 0)
    Share.ReturnedAt = Now;
  Share.AskedAt = Now;
  Share.Pause = Entry.Refused ? std::min<duration>(2 * Share.Pause, MostPause)
                              : LeastPause;
  Share.AnswerDue = false;
  if (Pool == pool_kind::Main) {
    Entry.Refused = false;
    Entry.ReportedDemand = Request.Demand;
  }
  return Request;
}

std::vector<addressed_requests> borrowing_machine::poll(const shard_map &Owners,
                                                        instant Now) {
  const duration Span = PolledAt == instant{} ? duration{} : Now - PolledAt;
  PolledAt = Now;
  std::map<vm_name, share_request_batch> Batches;
  for (auto &[Id, Entry] : Accounts) {
    measure(Entry, Span);
    const auto &Owner = Owners.at(Entry.Shard);
    if (!Owner)
      continue;
    const auto Add = [&](pool_kind Pool) {
      Batches[Owner->Owner.Vm].Requests.push_back(
          makeRequest(Entry, Pool, Owner->Epoch, Now));
    };
    if (mainIsDue(Entry, Now))
      Add(pool_kind::Main);
    if (reserveIsDue(Entry, Now))
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

void borrowing_machine::receive(const share_grant_batch &Batch, instant Now) {
  if (Batch.Borrower != Self)
    return;
  for (const share_grant &Grant : Batch.Grants)
    if (const auto Found = Accounts.find(Grant.Account);
        Found != Accounts.end())
      apply(Found->second, Grant, Batch.RequestedAt, Now);
}

void borrowing_machine::apply(account_entry &Entry, const share_grant &Grant,
                              instant RequestedAt, instant Now) {
  borrowed_share &Share = shareOf(Entry, Grant.Pool);
  const instant ValidUntil = RequestedAt + Options.termOf(Grant.Pool);
  const bool SameEpoch = Grant.Epoch == Share.Epoch;
  if (Grant.Epoch < Share.Epoch || Now >= ValidUntil || RequestedAt > Now)
    return;
  if (SameEpoch &&
      Grant.Version < std::max(Share.Version.next(), Share.DeadBelow))
    return;
  if (SameEpoch && RequestedAt < Share.ReturnedAt)
    return;
  // A new owner that does not lend yet takes nothing away.
  if (!SameEpoch && Grant.Rate <= 0 && inUse(Share, Now))
    return;
  share_bucket &Bucket = Entry.Share->bucketOf(Grant.Pool);
  const double Left = Bucket.close(Now);
  const double Kept = SameEpoch ? Left : 0;
  Share.Epoch = Grant.Epoch;
  Share.Version = Grant.Version;
  Share.DeadBelow = Grant.Version;
  // Confirms a smaller share, so that the owner can lend the rest.
  Share.AnswerDue = Grant.Rate < Share.InUse.Rate;
  if (Grant.Rate > Share.InUse.Rate * GrownFactor)
    Share.Pause = LeastPause;
  Share.Granted = {Grant.Rate, Grant.Burst};
  Share.GrantedOf = {Grant.LimitRate, Grant.LimitBurst};
  Share.ValidUntil = ValidUntil;
  Share.InUse = {Grant.Rate * cutFactor(Entry.Limit.Rate, Grant.LimitRate),
                 Grant.Burst * cutFactor(Entry.Limit.Burst, Grant.LimitBurst)};
  const double Level = Kept + Grant.Tokens;
  Share.Excess = std::max(0.0, Level - Share.InUse.Burst);
  Bucket.open({Share.InUse, Level, ValidUntil}, Now);
}

} // namespace peridot
