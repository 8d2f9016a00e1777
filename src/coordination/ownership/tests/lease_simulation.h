/// \file
/// Simulates the ownership machines of a few VMs under a schedule of faults:
/// messages are lost, delayed, duplicated and reordered; VMs pause, restart and
/// disappear; clocks drift; the platform fails and its responses are lost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <vector>

#include "coordination/ownership/ownership_machine.h"

namespace peridot::test {

enum class fault_kind {
  Pause,         ///< The process is paused while its clock runs on.
  Restart,       ///< The process is killed and restarted at the end.
  Remove,        ///< Killed and dropped from the list; replaced at the end.
  Leave,         ///< Leaves on purpose; killed and replaced at the end.
  PlatformDown,  ///< The platform is unreachable for all VMs.
  LoseResponses, ///< Writes take effect, but the responses are lost.
  CutPlatform,   ///< The platform is unreachable for one VM.
  CutOneWay,     ///< Messages from the VM to the other one are lost.
  Isolate,       ///< Messages to and from the VM are lost.
  FalseDrop,     ///< The list lacks a running VM; at most one at a time.
};

/// Fault of one VM or of the platform that begins at \p At.
struct simulated_fault {
  fault_kind Kind = fault_kind::Pause;
  std::size_t Vm = 0;
  std::size_t Other = 0; ///< Receiver; for CutOneWay only.
  duration At{};
  duration Length{};
};

struct simulation_options {
  std::size_t VmCount = 5;
  duration Length = std::chrono::seconds(90);
  std::uint64_t RandomSeed = 1;
  double LossProbability = 0.05;
  double DuplicateProbability = 0.05;
  /// Probability that a message or a map write is delayed by up to 10 s.
  double SlowProbability = 0.1;
  /// Largest relative error of a clock's rate. The lease margin allows 0.04.
  double MaxDrift = 0.02;
};

class lease_simulation {
public:
  explicit lease_simulation(simulation_options Options);

  void add(const simulated_fault &Fault);
  /// Runs until the end or until two incarnations may act for one shard.
  void run();

  /// Shard for which two incarnations could act at the same time, if any.
  std::optional<shard_number> shardWithTwoOwners() const {
    return ShardWithTwoOwners;
  }
  /// Number of shards for which a VM may act at the current time.
  std::size_t actingShards() const;
  std::size_t actingShards(std::size_t Vm) const;
  /// Number of map writes that have taken effect.
  std::uint64_t platformWrites() const { return StoredVersion; }

private:
  struct simulated_vm {
    std::unique_ptr<ownership_machine> Machine; ///< Empty while not running.
    vm_incarnation Id;
    double ClockRate = 1;
    duration ClockStart{};
    bool IsPaused = false;
    bool IsListed = true;
    /// Deliver the events that arrived during a pause.
    std::vector<std::function<void()>> DeferredEvents;
  };
  struct action {
    duration At{};
    std::uint64_t Order = 0;
    std::function<void()> Run;
    bool operator>(const action &Other) const {
      return std::tie(At, Order) > std::tie(Other.At, Other.Order);
    }
  };

  void after(duration Delay, std::function<void()> Run);
  void start(std::size_t Vm);
  void stop(std::size_t Vm);
  void tick(std::size_t Vm);
  instant clockOf(const simulated_vm &Vm) const;
  /// Passes an event to incarnation \p Id of a VM; drops the event if that
  /// incarnation has ended.
  void deliver(std::size_t Vm, const vm_incarnation &Id, ownership_event Event);
  void perform(std::size_t Vm, const ownership_effect &Effect);
  void sendMessage(std::size_t From, const send_lease_message &Message);
  void readMap(std::size_t Vm);
  void writeMap(std::size_t Vm, const write_shard_map &Write);
  void begin(const simulated_fault &Fault);
  void end(const simulated_fault &Fault);
  /// Adds the current list of VMs to the history that VMs read with a delay.
  void recordList();
  bool isPlatformReachable(std::size_t Vm) const;
  bool occursWithProbability(double Probability);
  duration randomDuration(duration Max);
  duration messageDelay();
  /// Records a shard for which more than one VM may act.
  void checkOwners();

  simulation_options Options;
  std::mt19937_64 Random;
  duration Now{};
  std::uint64_t Order = 0;
  std::priority_queue<action, std::vector<action>, std::greater<>> Actions;
  std::vector<simulated_vm> Vms;
  std::uint64_t LastIncarnation = 0;
  std::uint64_t StoredVersion = 0;
  shard_map StoredMap;
  std::vector<std::pair<duration, std::vector<member>>> Lists;
  int PlatformDownCount = 0;
  int LostResponsesCount = 0;
  std::optional<std::size_t> FalselyDropped;
  std::vector<int> PlatformCutCounts;
  std::vector<int> IsolationCounts;
  std::map<std::pair<std::size_t, std::size_t>, int> CutLinkCounts;
  std::optional<shard_number> ShardWithTwoOwners;
};

} // namespace peridot::test
