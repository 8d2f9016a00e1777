/// \file
/// CUSUM of a log-likelihood ratio: the sequential test behind ejections.
#pragma once

#include <algorithm>

#include "coordination/health/types/health_options.h"

namespace peridot {

/// Requests of which some were bad; estimates may be fractions.
struct bad_share_sample {
  double Requests = 0;
  double Bad = 0;
};

/// Raises both hypotheses to what the peers show: an illness must be several
/// times worse than the peers.
test_hypotheses relativeTo(const test_hypotheses &Lowest, double PeerShare);

/// Log-likelihood ratio of ill against healthy for a sample.
double logLikelihoodRatio(const test_hypotheses &Hypotheses,
                          const bad_share_sample &Sample);

/// One-sided CUSUM, bounded so that it also falls again in good time.
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
