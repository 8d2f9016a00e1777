/// \file
/// Targets of one service, grouped for a choice that compares only a few.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "coordination/load_balancing/target_cost.h"
#include "coordination/load_balancing/target_subsets.h"
#include "coordination/load_balancing/types/choice.h"

namespace peridot {

/// A target with what is known about it.
struct candidate {
  const target *Target = nullptr;
  target_estimate *Known = nullptr;
};

/// Options that a candidate_table shares with the load balancer.
struct candidate_table_options {
  subset_options Subsets;
  floor_options Floor;
  target_cost Cost;
};

/// Chooses among the targets of one service; not thread-safe. Becomes invalid
/// with the targets or what is known about them.
class candidate_table {
public:
  /// \param Candidates those of this VM's data centre come first.
  candidate_table(std::span<const candidate> Candidates,
                  const target_subset &Own, const data_center_name &DataCenter);

  /// Returns an own target if it has a free slot and seems sound. Otherwise
  /// returns the cheapest of the own targets and a few random ones. While too
  /// few targets are in use, returns an unused one.
  load_balancer_choice choose(const request_traits &Request,
                              const choice_context &Context,
                              const candidate_table_options &Options);

private:
  using candidates = std::vector<candidate>;

  /// A candidate and its cost.
  struct priced_candidate {
    const candidate *Candidate = nullptr;
    double Cost = 0;
  };

  /// Counts again which targets are in use, if the last count is too old.
  void updateFloor(instant Now, const candidate_table_options &Options);
  /// Returns a target that is to be used for the floor; null if enough are.
  const target *chooseUnused(const request_traits &Request,
                             const choice_context &Context,
                             const candidate_table_options &Options);
  /// Makes \p Best the cheapest of itself and up to \p MaxCompared random
  /// candidates.
  void compare(priced_candidate &Best, std::span<const candidate> Among,
               std::size_t MaxCompared, const request_traits &Request,
               const choice_context &Context, const target_cost &Cost) const;

  candidates Own;    ///< Of this VM's data centre, preferred by this VM.
  candidates Local;  ///< Others of this VM's data centre.
  candidates Remote; ///< Of other data centres.
  instant FloorCountedAt{};
  /// Targets to use for the floor; empty while enough are in use.
  candidates UnusedOwn;
  candidates UnusedLocal;
};

} // namespace peridot
