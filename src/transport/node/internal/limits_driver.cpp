#include "transport/node/internal/limits_driver.h"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "coordination/membership/preferred_vms.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds PollPeriod{100};
/// After a longer take the share's term is checked again. Shorter ones need no
/// check, as owners hold a share for more than this after its term.
constexpr std::chrono::milliseconds MaxTakeDuration{5};

std::vector<limited_account>
limitedAccounts(const fleet_configuration &Configuration) {
  std::vector<limited_account> Accounts;
  Accounts.reserve(Configuration.Accounts.size());
  for (const client_account &Account : Configuration.Accounts)
    Accounts.push_back({.Id = idOf(Account.Name),
                        .Name = Account.Name,
                        .Rate = Account.Limit.RequestsPerSecond,
                        .Burst = Account.Limit.Burst});
  return Accounts;
}

} // namespace

limits_driver::limits_driver(control_context &Context)
    : Context(Context), Allocator(Context.Self, Options),
      Holder(Context.Self.Incarnation, Options, Directory),
      RefusedRequests(Context.Metrics.getOrCreateCounter(
          "peridot_limits_refused_requests_total")) {}

void limits_driver::start() {
  Context.Peers.subscribe(frame_subject::Limits,
                          [this](const peer_hello &Sender, bytes_view Body) {
                            receive(Sender.Sender, Body);
                          });
  PollTimer =
      Context.Timers.every(PollPeriod, [this](instant Now) { poll(Now); });
}

rate_decision limits_driver::takeRate(const client_account &Account) {
  account_share *Share = Directory.find(Account.Name);
  if (!Share) {
    RefusedRequests.add();
    return rate_refused{.RetryAfter = PollPeriod, .ShareRequested = true};
  }
  const instant Before = bootNow();
  rate_decision Decision = Share->take(Before);
  // The process may have been paused after it read the clock, until the
  // share's term was over.
  const instant After = bootNow();
  if (After - Before > MaxTakeDuration && !Share->isMainValidAt(After))
    Decision = rate_refused{.RetryAfter = PollPeriod};
  if (std::holds_alternative<rate_refused>(Decision))
    RefusedRequests.add();
  return Decision;
}

void limits_driver::poll(instant Now) {
  applyConfiguration(Now);
  updateReserveAccounts();
  Allocator.handle(fleet_observed{Context.Ownership, Context.Members.Members},
                   Now);
  requestShares(Now);
}

void limits_driver::requestShares(instant Now) {
  for (const addressed_requests &Each : Holder.poll(Context.Ownership.Map, Now))
    send(Each.Owner, Each.Batch);
}

void limits_driver::applyConfiguration(instant Now) {
  const configuration_ptr &Current = Context.Snapshots.current().Configuration;
  if (!Current || Current == AppliedConfiguration)
    return;
  AppliedConfiguration = Current;
  const auto Accounts = limitedAccounts(AppliedConfiguration->configuration());
  Allocator.handle(accounts_configured{Accounts}, Now);
  Holder.configure(Accounts, Now);
  ReserveCandidates.clear();
}

void limits_driver::updateReserveAccounts() {
  std::vector<member> LocalMembers;
  std::vector<vm_name> Names;
  for (const member &Member : Context.Members.Members) {
    if (Member.DataCenter != Context.Settings.DataCenter || Member.Leaving)
      continue;
    LocalMembers.push_back(Member);
    Names.push_back(Member.Vm);
  }
  if (!AppliedConfiguration || Names.empty() || Names == ReserveCandidates)
    return;
  ReserveCandidates = std::move(Names);
  std::vector<account_id> ReserveAccounts;
  for (const client_account &Account :
       AppliedConfiguration->configuration().Accounts) {
    const auto PreferredVms = preferredVms(Account.Name, LocalMembers,
                                           Options.ReserveHoldersPerDataCenter);
    if (std::ranges::find(PreferredVms, Context.Self.Vm) != PreferredVms.end())
      ReserveAccounts.push_back(idOf(Account.Name));
  }
  Holder.setReserveAccounts(ReserveAccounts);
}

void limits_driver::send(const vm_name &Peer, const limits_message &Message) {
  if (Peer != Context.Self.Vm) {
    Context.Peers.send(Peer, frame_subject::Limits,
                       encodeLimitsMessage(Message));
    return;
  }
  boost::asio::post(Context.Loop, [this, Message] {
    std::visit([&](const auto &Each) { handle(Context.Self, Each); }, Message);
  });
}

void limits_driver::receive(const vm_incarnation &Sender, bytes_view Body) {
  const auto Message = decodeLimitsMessage(Body);
  if (!Message) {
    logError("limits-message-refused", Message.error());
    return;
  }
  std::visit([&](const auto &Each) { handle(Sender, Each); }, *Message);
}

void limits_driver::handle(const vm_incarnation &Sender,
                           const share_request_batch &Batch) {
  const shares_requested Event{
      Sender, Batch, {Context.Ownership, Context.Members.Members}};
  for (const addressed_grants &Each :
       Allocator.handle(Event, Context.Timers.now()))
    send(Each.Holder, Each.Batch);
}

void limits_driver::handle(const vm_incarnation & /*Sender*/,
                           const share_grant_batch &Batch) {
  const instant Now = Context.Timers.now();
  Holder.receive(Batch, Now);
  // Confirms reduced shares at once, so that other VMs can get the difference.
  requestShares(Now);
}

} // namespace peridot
