/// \file
/// Expected cost of sending a request to a target.
#pragma once

#include "coordination/load_balancing/target_estimate.h"
#include "coordination/load_balancing/types/choice.h"
#include "coordination/load_balancing/types/load_balancer_options.h"

namespace peridot {

/// How long the load that a target reported counts: for a fixed time, or at
/// most as long as its requests take.
enum class load_aging { Fixed, ByLatency };

class target_cost {
public:
  target_cost(const target_cost_options &Costs,
              const fault_episode_options &Episodes, load_aging Aging)
      : Costs(Costs), Episodes(Episodes), Aging(Aging) {}

  /// Returns the expected cost as a fraction of the request's value.
  /// \param Known null: nothing is known about the target.
  double of(const target &Target, const target_estimate *Known,
            const request_traits &Request, const choice_context &Context) const;
  /// Whether the target has a free slot and nothing suggests that it fails or
  /// is slow.
  bool isFreeAndSound(const target &Target, const target_estimate &Known,
                      instant Now) const;

private:
  /// Cost of \p Own and \p Others requests that run at a target.
  double loadCost(double Own, double Others, double Slots) const;
  /// Returns the estimated number of requests of others at a target.
  double othersRunningAt(const target_estimate &Known, instant Now) const;

  target_cost_options Costs;
  fault_episode_options Episodes;
  load_aging Aging;
};

} // namespace peridot
