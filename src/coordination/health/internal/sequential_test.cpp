#include "coordination/health/sequential_test.h"

#include <cmath>

namespace peridot {

namespace {

/// An ill target has at least this many times the peers' bad requests.
constexpr double IllnessRatio = 4;
constexpr double HighestIll = 0.97;
constexpr double HighestHealthy = 0.90;

} // namespace

test_hypotheses relativeTo(const test_hypotheses &Lowest, double PeerShare) {
  const double Healthy = std::clamp(PeerShare, Lowest.Healthy, HighestHealthy);
  const double Ill = std::clamp(Healthy * IllnessRatio, Lowest.Ill, HighestIll);
  return {.Healthy = Healthy, .Ill = Ill};
}

double logLikelihoodRatio(const test_hypotheses &Hypotheses,
                          const bad_share_sample &Sample) {
  const double Bad = std::min(Sample.Bad, Sample.Requests);
  const double Good = Sample.Requests - Bad;
  return Bad * std::log(Hypotheses.Ill / Hypotheses.Healthy) +
         Good * std::log((1 - Hypotheses.Ill) / (1 - Hypotheses.Healthy));
}

} // namespace peridot
