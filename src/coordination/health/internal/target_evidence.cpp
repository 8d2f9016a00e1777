#include "coordination/health/internal/target_evidence.h"

#include <algorithm>
#include <utility>

namespace peridot {

namespace {

/// Upper bound of the scores as a multiple of the threshold; higher scores
/// would carry no more information.
constexpr double MaxScoreRatio = 1.5;

} // namespace

request_sample &request_sample::operator+=(const request_sample &Other) {
  Requests += Other.Requests;
  Failures += Other.Failures;
  Slow += Other.Slow;
  return *this;
}

request_sample &request_sample::operator-=(const request_sample &Other) {
  Requests -= Other.Requests;
  Failures -= Other.Failures;
  Slow -= Other.Slow;
  return *this;
}

request_sample &request_sample::operator*=(double Factor) {
  Requests *= Factor;
  Failures *= Factor;
  Slow *= Factor;
  return *this;
}

void evidence_channel::add(const data_center_name &From, double Increment,
                           double Bound) {
  ByDataCenter[From].add(Increment, Bound);
}

void evidence_channel::reset() {
  Fused.reset();
  ByDataCenter.clear();
}

double evidence_channel::from(const data_center_name &DataCenter) const {
  const auto Found = ByDataCenter.find(DataCenter);
  return Found == ByDataCenter.end() ? 0 : Found->second.score();
}

unsigned evidence_channel::dataCentersAt(double Score) const {
  return static_cast<unsigned>(
      std::ranges::count_if(ByDataCenter, [Score](const auto &Entry) {
        return Entry.second.score() >= Score;
      }));
}

void target_evidence::addCounts(const data_center_name &From,
                                const target_counts &Counts) {
  Pending[From] += {.Requests = static_cast<double>(Counts.Requests),
                    .Failures = static_cast<double>(Counts.Failures),
                    .Slow = static_cast<double>(Counts.Slow)};
}

samples_by_data_center target_evidence::takePending() {
  return std::exchange(Pending, {});
}

double target_evidence::scoreChannel(evidence_channel &Channel,
                                     const test_hypotheses &Hypotheses,
                                     const samples_by_data_center &Samples,
                                     double request_sample::*Bad,
                                     double Bound) {
  double Sum = 0;
  for (const auto &[From, Sample] : Samples) {
    const double Ratio = logLikelihoodRatio(
        Hypotheses, {.Requests = Sample.Requests, .Bad = Sample.*Bad});
    Channel.add(From, Ratio, Bound);
    Sum += Ratio;
  }
  Channel.addFused(Sum, Bound);
  return Sum;
}

void target_evidence::score(const detection_options &Options,
                            const samples_by_data_center &Samples,
                            const peer_shares &Peers) {
  const double Bound = Options.Threshold * MaxScoreRatio;
  const double ByFailures =
      scoreChannel(Failures, adjustToPeers(Options.Failures, Peers.Failures),
                   Samples, &request_sample::Failures, Bound);
  const double BySlow =
      scoreChannel(Slow, adjustToPeers(Options.Slow, Peers.Slow), Samples,
                   &request_sample::Slow, Bound);
  Confirmation.add(std::max(ByFailures, BySlow), Bound);
  for (const auto &[From, Sample] : Samples)
    Recent += Sample;
}

void target_evidence::reset() {
  Failures.reset();
  Slow.reset();
  Confirmation.reset();
  Pending.clear();
  Recent = {};
}

void target_evidence::forget(const data_center_name &From) {
  Failures.forget(From);
  Slow.forget(From);
}

double target_evidence::fused() const {
  return std::max(Failures.fused(), Slow.fused());
}

double target_evidence::from(const data_center_name &DataCenter) const {
  return std::max(Failures.from(DataCenter), Slow.from(DataCenter));
}

} // namespace peridot
