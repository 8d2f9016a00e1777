/// \file
/// Explores all that can happen to a modelled fleet, depth first.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "model/fleet_model.h"

namespace peridot::test {

struct search_options {
  /// Maximum number of departures from the undisturbed run: changes of VMs and
  /// links, and messages that are lost, delayed or overtaken.
  unsigned Depth = 1;
  /// Steps in which departures begin.
  unsigned ChangeSteps = 12;
  /// Whether messages are lost, delayed and overtaken one by one.
  bool HasMessageFates = true;
  /// Whether VMs are frozen.
  bool HasFreezes = true;
  /// Whether links are cut for longer than a VM may be silent.
  bool HasLongCuts = true;
  /// Breaks after which the search ends.
  std::size_t MaxBreaks = 1;
  /// Whether states that were seen before are left out.
  bool LeavesOutSeenStates = true;
};

/// Time after the last departure in which the whole limit becomes usable: the
/// last report of a lost host is valid for demand_options::ReportLifetime, its
/// part then grows at the others after at most two periods of GrowthDelay, and
/// reports and shares follow at ticks.
inline constexpr duration UsableTime = demand_options{}.ReportLifetime +
                                       2 * demand_options{}.GrowthDelay +
                                       2 * HostingTickPeriod;

/// A sequence that breaks an invariant.
struct invariant_break {
  std::string Sequence;
  std::string Seen;
};

struct search_result {
  std::uint64_t States = 0;      ///< Distinct ones, at the beginnings of steps.
  std::uint64_t Transitions = 0; ///< Departures, deliveries and steps.
  std::uint64_t Ends = 0;        ///< Distinct states in which a run ends.
  /// Ends with a data centre that does not run; see
  /// fleet_model::allDataCentersRun.
  std::uint64_t EndsWithSilentDataCenter = 0;
  /// Largest part of what is allowed in a window that was admitted.
  double MaxAdmittedShare = 0;
  /// Smallest part of minAdmitted() that was admitted at an end.
  double MinUsableShare = 2;
  std::vector<invariant_break> Breaks;
};

class fleet_search {
public:
  fleet_search(const modelled_fleet &Fleet, search_options Options)
      : Fleet(Fleet), Options(Options) {}

  /// Explores what can happen to a fleet that has run for long.
  search_result runFromSteadyState();
  /// Explores what can happen from the first start of all VMs on.
  search_result runFromStart();

private:
  search_result run(fleet_model Model);
  /// Explores all runs from the changes of the present step on, with up to
  /// \p Depth departures. Of the changes, those before \p FirstChange were
  /// explored.
  void exploreStep(fleet_model Model, unsigned Depth, std::size_t FirstChange);
  /// Explores all runs from the deliveries of the present step on.
  void exploreDeliveries(fleet_model Model, unsigned Depth);
  void exploreChanges(const fleet_model &Model, unsigned Depth,
                      std::size_t FirstChange);
  void exploreFates(const fleet_model &Model, unsigned Depth);
  /// Goes on to the next step. \returns false at the end of the run.
  bool passStep(fleet_model &Model);
  /// Whether the state was explored with as many departures to come.
  bool wasSeen(const fleet_model &Model, unsigned Depth);
  bool isOpen(const fleet_model &Model) const {
    return Model.stepNumber() <= FirstStep + Options.ChangeSteps;
  }
  bool isExcluded(const fleet_change &Change) const;
  /// Checks the first invariant.
  void checkAdmitted(const fleet_model &Model);
  /// Checks the second invariant.
  void checkUsable(const fleet_model &Model);
  /// Adds a departure to the sequence.
  void note(const fleet_model &Model, std::string Departure);
  void noteBreak(const fleet_model &Model, std::string Seen);
  bool isFinished() const { return Result.Breaks.size() >= Options.MaxBreaks; }

  modelled_fleet Fleet;
  search_options Options;
  unsigned FirstStep = 0;
  unsigned LastStep = 0;
  std::unordered_map<std::uint64_t, unsigned> Seen; ///< Depth by digest.
  std::vector<std::string> Sequence; ///< Departures up to the present state.
  search_result Result;
};

} // namespace peridot::test
