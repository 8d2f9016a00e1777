#include "coordination/health/sequential_test.h"

#include <cmath>

namespace peridot {

namespace {

/// Minimum ratio of a failing target's fraction of bad requests to the peers'.
constexpr double MinFailingRatio = 4;
/// Upper bounds of the raised hypotheses.
constexpr double MaxFailingFraction = 0.97;
constexpr double MaxHealthyFraction = 0.90;

} // namespace

test_hypotheses adjustToPeers(const test_hypotheses &Lowest, double PeerShare) {
  const double Healthy =
      std::clamp(PeerShare, Lowest.Healthy, MaxHealthyFraction);
  const double Failing =
      std::clamp(Healthy * MinFailingRatio, Lowest.Failing, MaxFailingFraction);
  return {.Healthy = Healthy, .Failing = Failing};
}

double logLikelihoodRatio(const test_hypotheses &Hypotheses,
                          const bad_share_sample &Sample) {
  const double Bad = std::min(Sample.Bad, Sample.Requests);
  const double Good = Sample.Requests - Bad;
  return Bad * std::log(Hypotheses.Failing / Hypotheses.Healthy) +
         Good * std::log((1 - Hypotheses.Failing) / (1 - Hypotheses.Healthy));
}

} // namespace peridot
