/// \file
/// The lending and borrowing machines of a few VMs under a schedule of
/// messages, for property tests and measurements. One account, one shard.
#pragma once

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "coordination/limits/borrowing_machine.h"
#include "coordination/limits/lending_machine.h"

namespace peridot::test {

/// A bucket that sees every request of the fleet at once: the naive version.
class single_bucket {
public:
  single_bucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Level(Burst) {}

  /// Tokens left after one more request at \p At; negative: too many.
  double charge(duration At) {
    refill(At);
    return --Level;
  }
  bool take(duration At) {
    refill(At);
    if (Level < 1)
      return false;
    --Level;
    return true;
  }

private:
  void refill(duration At) {
    const double Elapsed = std::chrono::duration<double>(At - Last).count();
    Level = std::min(Burst, Level + Elapsed * Rate);
    Last = At;
  }

  double Rate;
  double Burst;
  double Level;
  duration Last{};
};

/// One VM as owner, by the true time. Terms do not overlap.
struct owner_term {
  std::size_t Vm = 0;
  duration From{};
  duration Until{};
};

/// How the network and the clocks of a schedule behave.
struct schedule_options {
  std::size_t VmCount = 3;
  std::size_t DataCenters = 3;
  double Rate = 20;
  double Burst = 10;
  double LossPart = 0;
  double DuplicatePart = 0;
  duration LeastDelay = std::chrono::milliseconds(3);
  duration MostDelay = std::chrono::milliseconds(3);
  double MostClockDrift = 0; ///< Of a VM against true time.
  lending_options Lending;
  std::vector<owner_term> Terms;
  unsigned Seed = 1;
};

/// Encoded sizes that a schedule counts with, in bytes.
struct message_sizes {
  static constexpr std::size_t Batch = 80;
  static constexpr std::size_t Request = 40;
  static constexpr std::size_t Grant = 48;
};

class limits_schedule {
public:
  explicit limits_schedule(schedule_options Chosen)
      : Options(std::move(Chosen)), Random(Options.Seed) {
    for (std::size_t Index = 0; Index < Options.VmCount; ++Index) {
      Members.push_back({.Vm = vm_name("vm-" + std::to_string(Index)),
                         .DataCenter = data_center_name(
                             std::to_string(Index % Options.DataCenters))});
      const double Drift = Options.MostClockDrift * (2 * uniform() - 1);
      Vms.push_back(
          {.Offset = std::chrono::hours(1 + Index), .ClockRate = 1 + Drift});
      restart(Index);
    }
  }

  /// Moves true time on; messages are delivered and machines polled.
  void advanceTo(duration Until) {
    while (Now < Until) {
      Now += Step;
      deliver();
      for (std::size_t Index = 0; Index < Vms.size(); ++Index)
        if (running(Index) && Now >= Vms[Index].NextPoll)
          poll(Index);
    }
  }

  /// A request arrives at a VM; true if admitted.
  bool request(std::size_t Index) {
    if (!running(Index))
      return false;
    account_share *Share = Vms[Index].Directory->find(Account.Name);
    return std::holds_alternative<rate_admitted>(Share->take(localNow(Index)));
  }

  /// Starts a VM's process anew: it has forgotten everything.
  void restart(std::size_t Index) {
    vm &Vm = Vms[Index];
    Vm.Id = {Members[Index].Vm, {++LastIncarnation}};
    Vm.Directory = std::make_unique<share_directory>();
    Vm.Borrower = std::make_unique<borrowing_machine>(
        Vm.Id.Incarnation, Options.Lending, *Vm.Directory);
    Vm.Lender = std::make_unique<lending_machine>(Vm.Id, Options.Lending);
    Vm.StartedAt = Now;
    configure(Index, Account);
  }

  void configure(std::size_t Index, const limited_account &Changed) {
    vm &Vm = Vms[Index];
    const std::vector<limited_account> Accounts{Changed};
    Vm.Borrower->configure(Accounts, localNow(Index));
    Vm.Lender->handle(accounts_configured{Accounts}, localNow(Index));
    const std::vector<account_id> Homed{Account.Id};
    Vm.Borrower->setHomeOf(Homed);
  }

  /// Stops a VM's process for a while; messages wait for it.
  void pause(std::size_t Index, duration Span) {
    Vms[Index].PausedUntil = Now + Span;
  }
  /// Cuts a VM off from all others until \p Until.
  void cutOff(std::size_t Index, duration Until) {
    Vms[Index].CutUntil = Until;
  }

  duration now() const { return Now; }
  std::size_t bytes() const { return Bytes; }
  const limited_account &account() const { return Account; }
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

private:
  static constexpr std::chrono::milliseconds Step{5};
  static constexpr std::chrono::milliseconds PollPeriod{100};

  struct vm {
    duration Offset{};
    double ClockRate = 1;
    vm_incarnation Id{};
    std::unique_ptr<share_directory> Directory{};
    std::unique_ptr<borrowing_machine> Borrower{};
    std::unique_ptr<lending_machine> Lender{};
    duration NextPoll{};
    duration PausedUntil{};
    duration CutUntil{};
    duration StartedAt{};
  };
  using message = std::variant<share_request_batch, share_grant_batch>;
  struct sent_message {
    duration At{};
    std::size_t From = 0;
    std::size_t To = 0;
    vm_incarnation Sender;
    message Body;
  };

  bool running(std::size_t Index) const {
    return Now >= Vms[Index].PausedUntil;
  }
  instant localAt(std::size_t Index, duration True) const {
    const auto Local = static_cast<double>(True.count()) * Vms[Index].ClockRate;
    return instant(Vms[Index].Offset +
                   duration(static_cast<duration::rep>(Local)));
  }
  instant localNow(std::size_t Index) const { return localAt(Index, Now); }

  /// Others learn of a new term late; the owner itself knows at once.
  ownership_view viewOf(std::size_t Index) const {
    ownership_view View;
    const shard_number Shard = shardOf(Account.Name);
    for (std::size_t Term = 0; Term < Options.Terms.size(); ++Term) {
      const owner_term &Each = Options.Terms[Term];
      const bool Own = Each.Vm == Index;
      if (Now < Each.From + (Own ? duration{} : ViewLag))
        break;
      View.Map.Shards[Shard.Value] =
          shard_ownership{.Owner = Vms[Each.Vm].Id, .Epoch = {Term + 1}};
      View.ActingUntil.clear();
      if (Own && Vms[Index].StartedAt <= Each.From)
        View.ActingUntil[Shard] = localAt(Index, Each.Until);
    }
    return View;
  }

  void poll(std::size_t Index) {
    Vms[Index].NextPoll = Now + PollPeriod;
    const ownership_view View = viewOf(Index);
    Vms[Index].Lender->handle(fleet_observed{View, Members}, localNow(Index));
    for (auto &Each : Vms[Index].Borrower->poll(View.Map, localNow(Index)))
      send(Index, Each.Owner, std::move(Each.Batch));
  }

  void send(std::size_t From, const vm_name &Name, const message &Body) {
    std::size_t To = 0;
    while (Members[To].Vm != Name)
      ++To;
    if (From != To)
      Bytes += sizeOf(Body);
    const unsigned Copies = uniform() < Options.DuplicatePart ? 2 : 1;
    for (unsigned Copy = 0; Copy < Copies; ++Copy) {
      const bool Cut =
          From != To && (Now < Vms[From].CutUntil || Now < Vms[To].CutUntil);
      if (Cut || uniform() < Options.LossPart)
        continue;
      const auto Spread =
          static_cast<double>((Options.MostDelay - Options.LeastDelay).count());
      const duration Delay =
          Options.LeastDelay +
          duration(static_cast<duration::rep>(Spread * uniform()));
      Messages.push_back({Now + Delay, From, To, Vms[From].Id, Body});
    }
  }

  static std::size_t sizeOf(const message &Body) {
    return std::visit(size_visitor{}, Body);
  }
  struct size_visitor {
    std::size_t operator()(const share_request_batch &Batch) const {
      return message_sizes::Batch +
             Batch.Requests.size() * message_sizes::Request;
    }
    std::size_t operator()(const share_grant_batch &Batch) const {
      return message_sizes::Batch + Batch.Grants.size() * message_sizes::Grant;
    }
  };

  void deliver() {
    std::vector<sent_message> Due;
    std::erase_if(Messages, [&](const sent_message &Each) {
      if (Each.At > Now || !running(Each.To))
        return false;
      Due.push_back(Each);
      return true;
    });
    for (const sent_message &Each : Due)
      std::visit([&](const auto &Body) { receive(Each, Body); }, Each.Body);
  }

  void receive(const sent_message &Sent, const share_request_batch &Batch) {
    const ownership_view View = viewOf(Sent.To);
    const shares_requested Event{Sent.Sender, Batch, {View, Members}};
    for (auto &Each : Vms[Sent.To].Lender->handle(Event, localNow(Sent.To)))
      send(Sent.To, Each.Borrower, Each.Batch);
  }
  void receive(const sent_message &Sent, const share_grant_batch &Batch) {
    Vms[Sent.To].Borrower->receive(Batch, localNow(Sent.To));
    poll(Sent.To);
  }

  static constexpr std::chrono::milliseconds ViewLag{700};

  schedule_options Options;
  std::mt19937 Random;
  limited_account Account{.Id = idOf(account_name("keepers")),
                          .Name = account_name("keepers"),
                          .Rate = Options.Rate,
                          .Burst = Options.Burst};
  std::vector<member> Members;
  std::vector<vm> Vms;
  std::vector<sent_message> Messages;
  duration Now{};
  std::uint64_t LastIncarnation = 0;
  std::size_t Bytes = 0;
};

} // namespace peridot::test
