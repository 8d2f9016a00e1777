/// \file
/// Ownership machines of a few VMs under a schedule of faults: messages are
/// lost, delayed, doubled and reordered; VMs pause, restart and vanish; clocks
/// drift; the platform goes away and loses answers.
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
  Pause,        ///< The VM stands still; its clock runs.
  Restart,      ///< The process is killed and started again.
  Remove,       ///< The VM is killed, dropped from the list, replaced later.
  Leave,        ///< Told to leave, killed later, replaced.
  PlatformDown, ///< For all VMs.
  LoseAnswers,  ///< Writes take effect, answers are lost.
  CutPlatform,  ///< Platform unreachable for one VM.
  CutOneWay,    ///< Messages from the VM to the other one are lost.
  Isolate,      ///< No messages to or from the VM.
  FalseDrop,    ///< The list lacks the running VM; one at a time.
};

struct schedule_fault {
  fault_kind Kind = fault_kind::Pause;
  std::size_t Vm = 0;
  std::size_t Other = 0;
  duration At{};
  duration Length{};
};

struct schedule_options {
  std::size_t VmCount = 5;
  duration Length = std::chrono::seconds(90);
  std::uint64_t NoiseSeed = 1;
  double LossShare = 0.05;
  double DoubleShare = 0.05;
  double SlowShare = 0.1; ///< Delayed by up to 10 s.
  /// Clocks run wrong by at most this share; the lease margin allows 0.04.
  double Drift = 0.02;
};

class lease_schedule {
public:
  explicit lease_schedule(schedule_options Options);

  void add(const schedule_fault &Fault);
  /// Runs to the end or to the first instant with two owners of one shard.
  void run();

  /// Set if two incarnations could act for one shard at the same instant.
  std::optional<shard_number> doubleOwner() const { return DoubleOwner; }
  /// Shards that one incarnation could act for at the end.
  std::size_t actingShards() const;
  std::size_t actingShards(std::size_t Vm) const;
  std::uint64_t platformWrites() const { return Version; }

private:
  struct simulated_vm {
    std::unique_ptr<ownership_machine> Machine; ///< Empty while not running.
    vm_incarnation Id;
    double ClockRate = 1;
    duration ClockStart{};
    bool Paused = false;
    bool Listed = true;
    std::vector<std::function<void()>> Held; ///< Happened during a pause.
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
  /// Gives an event to one incarnation, or drops it when that has ended.
  void give(std::size_t Vm, const vm_incarnation &Id, ownership_event Event);
  void perform(std::size_t Vm, const ownership_effect &Effect);
  void sendMessage(std::size_t From, const send_lease_message &Message);
  void readMap(std::size_t Vm);
  void writeMap(std::size_t Vm, const write_shard_map &Write);
  void begin(const schedule_fault &Fault);
  void end(const schedule_fault &Fault);
  void recordList();
  bool platformReachable(std::size_t Vm) const;
  bool chance(double Share);
  duration noise(duration Most);
  duration messageDelay();
  void check();

  schedule_options Options;
  std::mt19937_64 Random;
  duration Now{};
  std::uint64_t Order = 0;
  std::priority_queue<action, std::vector<action>, std::greater<>> Actions;
  std::vector<simulated_vm> Vms;
  std::uint64_t LastIncarnation = 0;
  std::uint64_t Version = 0;
  shard_map Stored;
  std::vector<std::pair<duration, std::vector<member>>> Lists;
  int PlatformDown = 0;
  int LosingAnswers = 0;
  std::optional<std::size_t> FalselyDropped;
  std::vector<int> PlatformCut;
  std::vector<int> Isolated;
  std::map<std::pair<std::size_t, std::size_t>, int> Cut;
  std::optional<shard_number> DoubleOwner;
};

} // namespace peridot::test
