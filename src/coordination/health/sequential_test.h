/// \file
/// Sequential test behind ejections: CUSUM of a log-likelihood ratio.
#pragma once

#include <algorithm>

#include "coordination/health/types/health_options.h"

namespace peridot {

/// Number of requests and of bad ones among them; estimates may be fractional.
struct bad_share_sample {
  double Requests = 0;
  double Bad = 0;
};

/// Raises both hypotheses according to the peers' fraction of bad requests, so
/// that only a target several times worse than its peers counts as failing.
test_hypotheses adjustToPeers(const test_hypotheses &Lowest, double PeerShare);

/// Log-likelihood ratio of failing against healthy for \p Sample.
double logLikelihoodRatio(const test_hypotheses &Hypotheses,
                          const bad_share_sample &Sample);

/// One-sided CUSUM. The upper bound lets the score fall soon after a recovery.
class cusum {
public:
  void add(double Increment, double Bound) {
    Score = std::clamp(Score + Increment, 0.0, Bound);
  }
  void reset() { Score = 0; }
  double score() const { return Score; }

private:
  double Score = 0;
};

} // namespace peridot
