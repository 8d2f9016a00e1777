/// \file
/// Simulates share allocators and holders of a few VMs, the network between
/// them and their clocks, for property tests and measurements. One account,
/// one shard.
#pragma once

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "coordination/limits/share_allocator.h"
#include "coordination/limits/share_holder.h"

namespace peridot::test {

/// Token bucket that sees every request of the fleet without delay: the
/// reference that distributed limits are compared with.
class single_bucket {
public:
  single_bucket(double Rate, double Burst)
      : Rate(Rate), Burst(Burst), Level(Burst) {}

  /// Takes a token at \p At even from an empty bucket and returns the level;
  /// negative: the limit is exceeded.
  double charge(duration At) {
    refill(At);
    return --Level;
  }
  /// Takes a token at \p At; returns whether there was one.
  bool take(duration At) {
    refill(At);
    if (Level < 1)
      return false;
    --Level;
    return true;
  }

private:
  void refill(duration At) {
    const double Elapsed =
        std::chrono::duration<double>(At - LastRefill).count();
    Level = std::min(Burst, Level + Elapsed * Rate);
    LastRefill = At;
  }

  double Rate;
  double Burst;
  double Level;
  duration LastRefill{};
};

/// Period of true time in which a VM owns the shard. Terms do not overlap.
struct owner_term {
  std::size_t Vm = 0;
  duration From{};
  duration Until{};
};

/// Fleet, limit, network and clocks of a schedule.
struct schedule_options {
  std::size_t VmCount = 3;
  std::size_t DataCenterCount = 3;
  double Rate = 20;
  double Burst = 10;
  double LossRate = 0;
  double DuplicateRate = 0;
  duration MinDelay = std::chrono::milliseconds(3);
  duration MaxDelay = std::chrono::milliseconds(3);
  double MaxClockDrift = 0; ///< Relative, of a VM against true time.
  share_options ShareOptions;
  std::vector<owner_term> Terms;
  unsigned Seed = 1;
};

/// Encoded sizes in bytes, for the count of sent bytes.
struct message_sizes {
  static constexpr std::size_t Batch = 80;
  static constexpr std::size_t Request = 40;
  static constexpr std::size_t Grant = 48;
};

/// Simulation of one account's limit on several VMs in true time.
class limits_schedule {
public:
  explicit limits_schedule(schedule_options Chosen)
      : Options(std::move(Chosen)), Random(Options.Seed) {
    for (std::size_t Index = 0; Index < Options.VmCount; ++Index) {
      Members.push_back({.Vm = vm_name("vm-" + std::to_string(Index)),
                         .DataCenter = data_center_name(
                             std::to_string(Index % Options.DataCenterCount))});
      const double Drift = Options.MaxClockDrift * (2 * uniform() - 1);
      Vms.push_back(
          {.Offset = std::chrono::hours(1 + Index), .ClockRate = 1 + Drift});
      restart(Index);
    }
  }

  /// Advances true time in steps, delivers due messages and polls the VMs.
  void advanceTo(duration Until) {
    while (Now < Until) {
      Now += Step;
      deliver();
      for (std::size_t Index = 0; Index < Vms.size(); ++Index)
        if (isRunning(Index) && Now >= Vms[Index].NextPoll)
          poll(Index);
    }
  }

  /// A request arrives at a VM; returns whether it is admitted.
  bool request(std::size_t Index) {
    if (!isRunning(Index))
      return false;
    account_share *Share = Vms[Index].Directory->find(Account.Name);
    return std::holds_alternative<rate_admitted>(Share->take(localNow(Index)));
  }

  /// Restarts a VM's process without its earlier state.
  void restart(std::size_t Index) {
    vm &Vm = Vms[Index];
    Vm.Id = {Members[Index].Vm, {++LastIncarnation}};
    Vm.Directory = std::make_unique<share_directory>();
    Vm.Holder = std::make_unique<share_holder>(
        Vm.Id.Incarnation, Options.ShareOptions, *Vm.Directory);
    Vm.Allocator =
        std::make_unique<share_allocator>(Vm.Id, Options.ShareOptions);
    Vm.StartedAt = Now;
    configure(Index, Account);
  }

  /// Applies a changed limit on one VM.
  void configure(std::size_t Index, const limited_account &Changed) {
    vm &Vm = Vms[Index];
    const std::vector<limited_account> Accounts{Changed};
    Vm.Holder->configure(Accounts, localNow(Index));
    Vm.Allocator->handle(accounts_configured{Accounts}, localNow(Index));
    const std::vector<account_id> ReserveAccounts{Account.Id};
    Vm.Holder->setReserveAccounts(ReserveAccounts);
  }

  /// Pauses a VM's process for \p Span; its messages are delivered afterwards.
  void pause(std::size_t Index, duration Span) {
    Vms[Index].PausedUntil = Now + Span;
  }
  /// Drops all messages between a VM and the others until \p Until.
  void disconnect(std::size_t Index, duration Until) {
    Vms[Index].CutUntil = Until;
  }

  duration now() const { return Now; }
  /// Encoded bytes sent between VMs.
  std::size_t bytes() const { return Bytes; }
  const limited_account &account() const { return Account; }
  /// Random number in [0, 1).
  double uniform() {
    return std::uniform_real_distribution<double>(0, 1)(Random);
  }

private:
  static constexpr std::chrono::milliseconds Step{5};
  static constexpr std::chrono::milliseconds PollInterval{100};

  struct vm {
    duration Offset{};
    double ClockRate = 1;
    vm_incarnation Id{};
    std::unique_ptr<share_directory> Directory{};
    std::unique_ptr<share_holder> Holder{};
    std::unique_ptr<share_allocator> Allocator{};
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

  bool isRunning(std::size_t Index) const {
    return Now >= Vms[Index].PausedUntil;
  }
  /// Time on a VM's clock at \p TrueTime.
  instant localAt(std::size_t Index, duration TrueTime) const {
    const auto Local =
        static_cast<double>(TrueTime.count()) * Vms[Index].ClockRate;
    return instant(Vms[Index].Offset +
                   duration(static_cast<duration::rep>(Local)));
  }
  instant localNow(std::size_t Index) const { return localAt(Index, Now); }

  /// Ownership as a VM sees it: the owner sees a new term at once, the others
  /// after ViewLag.
  ownership_view viewOf(std::size_t Index) const {
    ownership_view View;
    const shard_number Shard = shardOf(Account.Name);
    for (std::size_t Term = 0; Term < Options.Terms.size(); ++Term) {
      const owner_term &Each = Options.Terms[Term];
      const bool IsOwn = Each.Vm == Index;
      if (Now < Each.From + (IsOwn ? duration{} : ViewLag))
        break;
      View.Map.Shards[Shard.Value] =
          shard_ownership{.Owner = Vms[Each.Vm].Id, .Epoch = {Term + 1}};
      View.ActingUntil.clear();
      if (IsOwn && Vms[Index].StartedAt <= Each.From)
        View.ActingUntil[Shard] = localAt(Index, Each.Until);
    }
    return View;
  }

  void poll(std::size_t Index) {
    Vms[Index].NextPoll = Now + PollInterval;
    const ownership_view View = viewOf(Index);
    Vms[Index].Allocator->handle(fleet_observed{View, Members},
                                 localNow(Index));
    for (auto &Each : Vms[Index].Holder->poll(View.Map, localNow(Index)))
      send(Index, Each.Owner, std::move(Each.Batch));
  }

  void send(std::size_t From, const vm_name &Name, const message &Body) {
    std::size_t To = 0;
    while (Members[To].Vm != Name)
      ++To;
    if (From != To)
      Bytes += sizeOf(Body);
    const unsigned Copies = uniform() < Options.DuplicateRate ? 2 : 1;
    for (unsigned Copy = 0; Copy < Copies; ++Copy) {
      const bool IsCut =
          From != To && (Now < Vms[From].CutUntil || Now < Vms[To].CutUntil);
      if (IsCut || uniform() < Options.LossRate)
        continue;
      const auto Spread =
          static_cast<double>((Options.MaxDelay - Options.MinDelay).count());
      const duration Delay =
          Options.MinDelay +
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
      if (Each.At > Now || !isRunning(Each.To))
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
    for (auto &Each : Vms[Sent.To].Allocator->handle(Event, localNow(Sent.To)))
      send(Sent.To, Each.Holder, Each.Batch);
  }
  void receive(const sent_message &Sent, const share_grant_batch &Batch) {
    Vms[Sent.To].Holder->receive(Batch, localNow(Sent.To));
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
