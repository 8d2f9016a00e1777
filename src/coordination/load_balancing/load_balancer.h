/// \file
/// Chooses the target of a request from the observations of this VM and its
/// peers.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/load_balancing/candidate_table.h"
#include "coordination/load_balancing/target_cost.h"
#include "coordination/load_balancing/target_estimate.h"
#include "coordination/load_balancing/target_subsets.h"
#include "coordination/load_balancing/types/choice.h"
#include "coordination/load_balancing/types/load_balancer_options.h"
#include "coordination/load_balancing/types/reported_load.h"

namespace peridot {

/// Tracks the targets that one traffic thread uses; not thread-safe.
class load_balancer {
public:
  explicit load_balancer(const load_balancer_settings &Settings = {})
      : Episodes(Settings.Episodes), Floor(Settings.Floor),
        Subsets(Settings.Subsets),
        Cost(Settings.Costs, Settings.Episodes, load_aging::Fixed),
        SubsetCost(Settings.Costs, Settings.Episodes, load_aging::ByLatency) {}

  /// Replaces this VM's part of the targets of its data centre, after the hosts
  /// or the targets have changed. While there are too few hosts for a division,
  /// \p Services are not looked at.
  void divide(std::span<const std::span<const target>> Services,
              const dividing_hosts &Hosts);
  /// Returns the number of targets that this VM prefers; empty without a
  /// division.
  std::optional<std::size_t> ownTargetCount() const {
    return Own ? std::optional(Own->size()) : std::nullopt;
  }

  /// Returns the target with the lowest expected cost, of all or, with a
  /// division, of a few; while too few targets are in use, the cheapest of the
  /// unused ones. \p Targets must not change before the next divide().
  load_balancer_choice choose(std::span<const target> Targets,
                              const request_traits &Request,
                              const choice_context &Context);

  /// Records the start of a request at a target. \returns its id.
  std::uint64_t begin(const target_name &Target, instant Now,
                      duration TypicalLatency);
  /// Records the end of a request. \p LatencyRatio is its latency relative to
  /// the typical one, if known.
  void end(const target_name &Target, std::uint64_t Id, attempt_end End,
           std::optional<double> LatencyRatio, instant Now);
  /// Records the load that a target reported in a response to this thread. Must
  /// be called before end() for that request, which the load includes.
  void noteLoad(const target_name &Target, const reported_load &Load,
                instant Now);
  /// Records an attempt that a peer observed.
  void recordPeerAttempt(const target_name &Target, attempt_end End,
                         instant Now);

  /// Returns the probability that a target is failing, taking overdue requests
  /// into account.
  double faultProbability(const target_name &Target, instant Now) const;

  /// Removes targets that are not among \p Targets and have no running request.
  void retain(std::span<const target_name> Targets);

private:
  bool isRecentlyUsed(const target &Target, instant Now) const;
  /// Whether many attempts at the targets of this data centre fail.
  bool isFailureShareHigh(std::span<const target> Targets,
                          const choice_context &Context) const;
  /// Whether too few targets of this data centre are in use.
  bool isBelowFloor(std::span<const target> Targets,
                    const choice_context &Context) const;
  /// Returns the untried target with the lowest cost. \p UnusedOnly restricts
  /// the choice to targets of this data centre without recent requests.
  const target *cheapest(std::span<const target> Targets,
                         const request_traits &Request,
                         const choice_context &Context, bool UnusedOnly) const;
  /// Chooses among all targets.
  load_balancer_choice chooseAmongAll(std::span<const target> Targets,
                                      const request_traits &Request,
                                      const choice_context &Context) const;
  /// Whether the request leaves trials of targets to repeatable requests of its
  /// service. Counts the request.
  bool leavesTrialsToOthers(const request_traits &Request);
  candidate_table &tableOf(std::span<const target> Targets,
                           const data_center_name &DataCenter);
  target_estimate &getOrCreate(const target_name &Name);
  const target_estimate *find(const target_name &Name) const;

  fault_episode_options Episodes;
  floor_options Floor;
  subset_options Subsets;
  target_cost Cost;       ///< For choices among all targets.
  target_cost SubsetCost; ///< For choices with a division.
  std::unordered_map<target_name, target_estimate> Targets;
  std::optional<target_subset> Own; ///< Empty: no division.
  /// By the first target of a service; refer to Targets.
  std::unordered_map<const target *, candidate_table> Tables;
  /// Fraction of the first attempts that can be repeated, by service.
  std::map<std::string, double, std::less<>> RepeatableShares;
  std::uint64_t LastId = 0;
};

} // namespace peridot
