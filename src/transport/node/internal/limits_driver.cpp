#include "transport/node/internal/limits_driver.h"

#include <algorithm>

#include "coordination/membership/home_vms.h"
#include "transport/logging/event_log.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds PollPeriod{100};
/// Owners hold a share for longer than this after its end.
constexpr std::chrono::milliseconds LongTake{5};

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
    : Context(Context), Lender(Context.Self, Options),
      Borrower(Context.Self.Incarnation, Options, Directory),
      Refused(
          Context.Metrics.counterOf("peridot_limits_refused_requests_total")) {}

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
    Refused.add();
    return rate_refused{.RetryAfter = PollPeriod, .ShareRequested = true};
  }
  const instant Before = bootNow();
  rate_decision Decision = Share->take(Before);
  // The process may have been paused between the clock and the bucket.
  const instant After = bootNow();
  if (After - Before > LongTake && !Share->mainValidAt(After))
    Decision = rate_refused{.RetryAfter = PollPeriod};
  if (std::holds_alternative<rate_refused>(Decision))
    Refused.add();
  return Decision;
}

void limits_driver::poll(instant Now) {
  followConfiguration(Now);
  followMembers();
  Lender.handle(fleet_observed{Context.Ownership, Context.Members.Members},
                Now);
  askOwners(Now);
}

void limits_driver::askOwners(instant Now) {
  for (const addressed_requests &Each :
       Borrower.poll(Context.Ownership.Map, Now))
    send(Each.Owner, Each.Batch);
}

void limits_driver::followConfiguration(instant Now) {
  const configuration_ptr &Current = Context.Snapshots.current().Configuration;
  if (!Current || Current == Configured)
    return;
  Configured = Current;
  const auto Accounts = limitedAccounts(Configured->configuration());
  Lender.handle(accounts_configured{Accounts}, Now);
  Borrower.configure(Accounts, Now);
  Placed.clear();
}

void limits_driver::followMembers() {
  std::vector<member> Near;
  std::vector<vm_name> Names;
  for (const member &Member : Context.Members.Members) {
    if (Member.DataCenter != Context.Settings.DataCenter || Member.Leaving)
      continue;
    Near.push_back(Member);
    Names.push_back(Member.Vm);
  }
  if (!Configured || Names.empty() || Names == Placed)
    return;
  Placed = std::move(Names);
  std::vector<account_id> Homed;
  for (const client_account &Account : Configured->configuration().Accounts) {
    const auto Homes = homeVms(Account.Name, Near, Options.HomesPerDataCenter);
    if (std::ranges::find(Homes, Context.Self.Vm) != Homes.end())
      Homed.push_back(idOf(Account.Name));
  }
  Borrower.setHomeOf(Homed);
}

void limits_driver::send(const vm_name &Peer, const limits_message &Message) {
  if (Peer != Context.Self.Vm) {
    Context.Peers.send(Peer, frame_subject::Limits,
                       encodeLimitsMessage(Message));
    return;
  }
  std::visit([&](const auto &Each) { handle(Context.Self, Each); }, Message);
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
       Lender.handle(Event, Context.Timers.now()))
    send(Each.Borrower, Each.Batch);
}

void limits_driver::handle(const vm_incarnation & /*Sender*/,
                           const share_grant_batch &Batch) {
  const instant Now = Context.Timers.now();
  Borrower.receive(Batch, Now);
  // Confirms smaller shares at once, so that others get the rest.
  askOwners(Now);
}

} // namespace peridot
