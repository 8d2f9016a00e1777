/// \file
/// Several load balancers that send requests to the same targets, in simulated
/// time.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/load_balancing/load_balancer.h"

namespace peridot {

/// Fleet and load of one run.
struct shared_targets_run {
  std::size_t Vms = 20;
  std::size_t Targets = 115;
  double Load = 0.6; ///< Mean fraction of all slots in use.
  /// Chooses targets uniformly at random instead of with the balancers.
  bool IsRandom = false;
  /// Fraction of all requests that come to the first VM; 0: as to the others.
  double FirstVmShare = 0;
  std::size_t SlowTargets = 0; ///< Their requests take four times as long.
  /// Interval at which one VM after the other stops, and the last one returns;
  /// zero: the VMs stay.
  duration HostChangePeriod{0};
};

/// What became of the requests.
struct shared_targets_result {
  double FullShare = 0;       ///< Found all slots of their target in use.
  double ShedShare = 0;       ///< Turned away, as the target's queue was full.
  double SlowShare = 0;       ///< Sent to slow targets.
  double BusiestOverMean = 0; ///< Requests of the busiest target.
};

struct shared_targets_fixture {
  shared_targets_result play(const shared_targets_run &Run);

private:
  struct waiting_request {
    std::size_t Vm = 0;
    std::uint64_t Id = 0;
  };
  struct simulated_target {
    unsigned Running = 0;
    std::deque<waiting_request> Waiting;
    std::size_t Requests = 0;
  };

  void schedule(duration Delay, std::function<void()> Action) {
    Events.emplace(Now + Delay, std::move(Action));
  }
  void setUp(const shared_targets_run &Chosen);
  void arrive();
  void changeHosts();
  void divide();
  std::size_t chooseVm();
  std::size_t chooseTarget(std::size_t Vm);
  void start(std::size_t Target, const waiting_request &Request);
  void finish(std::size_t Target, const waiting_request &Request);
  void tellPeers(std::size_t Vm, std::size_t Target);
  double uniform() { return std::uniform_real_distribution<>(0, 1)(Random); }

  shared_targets_run Run;
  std::mt19937_64 Random;
  instant Now{};
  std::multimap<instant, std::function<void()>> Events;
  std::vector<target> Targets;
  std::map<const target *, std::size_t> IndexOf;
  std::vector<simulated_target> States;
  std::vector<load_balancer> Balancers;
  std::vector<vm_name> Names;
  std::set<std::size_t> Stopped;
  std::size_t Count = 0;
  std::size_t FullCount = 0;
  std::size_t ShedCount = 0;
  std::size_t SlowCount = 0;
};

} // namespace peridot
