/// \file
/// A fleet of simulated VMs that divide limits, in coarse steps of time.
///
/// Each VM is the product's own hosting machine. What surrounds it is modelled:
/// the network, the list of VMs, and callers who ask for more than the limits
/// allow at each VM.
///
/// A step goes through: traffic, changes, ticks, deliveries. Traffic comes
/// first, so that each VM uses up what it holds before it learns of anything.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/hosting/hosting_machine.h"

namespace peridot::test {

/// Length of a step. Callers use what they may at its end.
inline constexpr std::chrono::milliseconds ModelStep{250};

struct modelled_vm {
  std::string Name;
  std::string DataCenter;
  /// Whether it ticks in the odd steps; otherwise in the even ones.
  bool TicksInOddSteps = false;
};

struct modelled_fleet {
  std::vector<modelled_vm> Vms;
  std::vector<client_account> Accounts;
  rate_tolerance Tolerance{
      .Window = std::chrono::seconds(5), .Share = 0.1, .Requests = 20};
};

/// Returns three VMs in two data centres, or four with a limit that is whole
/// while all run and is divided when one is lost.
modelled_fleet fleetOf(std::size_t VmCount);

/// What may happen to VMs, by their index. Cuts and freezes end on their own.
struct kill_vm {
  std::size_t Vm = 0;
};
struct start_vm {
  std::size_t Vm = 0;
};
/// Planned stop: the process ends LeaveTime later.
struct leave_vm {
  std::size_t Vm = 0;
};
struct freeze_vm {
  std::size_t Vm = 0;
  unsigned Steps = 0;
};
enum class cut_direction { Both, From, To };
/// Messages from or to a VM are lost, or all of these.
struct cut_vm {
  std::size_t Vm = 0;
  cut_direction Direction = cut_direction::Both;
  unsigned Steps = 0;
};
using fleet_change =
    std::variant<kill_vm, start_vm, leave_vm, freeze_vm, cut_vm>;

/// What may happen to the next message instead of its delivery.
enum class message_fate { Lose, DelayToEndOfStep, DelayToNextStep };

/// Time from a planned stop to the end of the process.
inline constexpr std::chrono::seconds LeaveTime{2};

class fleet_model {
public:
  explicit fleet_model(const modelled_fleet &Fleet);

  /// Starts all VMs at once.
  void startAll();
  /// Begins a step: time passes and callers use what they may.
  void beginStep();
  /// Lets the running VMs tick whose turn it is.
  void tick();
  bool hasMessage() const { return !Messages.empty(); }
  /// Delivers the next message.
  void deliver();
  /// Returns whether \p Fate makes a difference for the next message.
  bool canApply(message_fate Fate) const;
  void apply(message_fate Fate);
  /// Ends all cuts and freezes.
  void heal();
  /// Passes \p Steps whole steps in which every message arrives at once.
  void pass(unsigned Steps);

  std::vector<fleet_change> possibleChanges() const;
  void apply(const fleet_change &Change);

  unsigned stepNumber() const { return StepNumber; }
  /// Returns a digest of the state, which decides all that follows.
  std::uint64_t digest() const;
  /// Returns the requests admitted in the last window by account; see
  /// rate_tolerance.
  double admittedInWindow(std::size_t Account) const;
  /// Returns the most that is allowed in a window.
  double maxAdmitted(std::size_t Account) const;
  /// Returns the least that is admitted in a window if the whole limit is in
  /// use. Less than one request may be left in each bucket.
  double minAdmitted(std::size_t Account) const;
  /// Whether each data centre has a running VM that is not about to stop. The
  /// part of one without any stays reserved for it.
  bool allDataCentersRun() const;
  std::string describe(const fleet_change &Change) const;
  /// Describes the next message.
  std::string describeMessage() const;
  /// Describes the shares in use, for a report of a break.
  std::string describeAdmissions() const;

private:
  /// The list of VMs has changed; the receiver reads it.
  struct list_changed {};
  struct message {
    std::size_t From = 0;
    std::size_t To = 0;
    std::uint64_t ToIncarnation = 0; ///< A later process gets nothing.
    std::variant<host_message, list_changed> Content;
  };
  struct simulated_vm {
    std::optional<hosting_machine> Machine; ///< Empty while it does not run.
    std::uint64_t Incarnation = 0;
    std::optional<unsigned> StopsAtStep; ///< Of a VM that leaves.
    unsigned FrozenUntilStep = 0;
  };
  struct refused_requests {
    std::size_t Vm = 0;
    std::size_t Account = 0;
    unsigned Count = 0;
  };

  bool runs(std::size_t Vm) const { return Vms[Vm].Machine.has_value(); }
  bool isFrozen(std::size_t Vm) const {
    return StepNumber < Vms[Vm].FrozenUntilStep;
  }
  bool isCut(std::size_t From, std::size_t To) const {
    return StepNumber < CutUntilStep[From * Vms.size() + To];
  }
  limits_in_force limits() const;
  std::size_t indexOf(const vm_name &Name) const;
  void handle(std::size_t Vm, const hosting_event &Event);
  void send(std::size_t From, std::size_t To, const host_message &Message);
  void receive(const message &Message, const host_message &Content);
  void receive(const message &Message, const list_changed &Content);
  void announceList();
  std::vector<ranked_vm> list() const;
  void start(std::size_t Vm);
  void stopLeavers();
  void useShares();
  /// Requests grants of the primaries for \p Refused and uses them. Requests
  /// and grants arrive within the step unless a link is cut.
  void useReserve(const refused_requests &Refused);

  void change(const kill_vm &Change);
  void change(const start_vm &Change);
  void change(const leave_vm &Change);
  void change(const freeze_vm &Change);
  void change(const cut_vm &Change);

  const modelled_fleet *Fleet; ///< Outlives all copies of the model.
  instant Now;
  unsigned StepNumber = 0;
  std::vector<simulated_vm> Vms;
  std::vector<unsigned> CutUntilStep; ///< By link.
  /// Registered VMs; Rank 0: not registered.
  std::vector<std::uint64_t> Ranks;
  std::uint64_t LastRank = 0;
  std::deque<message> Messages;
  std::vector<message> Delayed; ///< To the next step.
  /// Admitted requests of the steps in the last window, by account.
  std::vector<std::deque<unsigned>> Admitted;
};

} // namespace peridot::test
