#include "coordination/capacity/urgency_shares.h"

namespace peridot {

namespace {

/// The counts are halved when they add up to this, so that recent requests
/// count more.
constexpr double MaxTotal = 512;
/// Smallest count that is kept then.
constexpr double MinCount = 0.5;

} // namespace

void urgency_shares::record(const urgency_class &Class) {
  ++Counts[Class];
  ++Total;
  if (Total >= MaxTotal)
    halve();
}

double urgency_shares::fractionBefore(const urgency_class &Class) const {
  double Before = 0;
  for (const auto &[Counted, Count] : Counts) {
    if (Counted < Class)
      Before += Count;
    if (Counted == Class)
      Before += Count / 2;
  }
  return Total > 0 ? Before / Total : 0.5;
}

void urgency_shares::halve() {
  Total = 0;
  for (auto Each = Counts.begin(); Each != Counts.end();) {
    Each->second /= 2;
    Total += Each->second;
    Each = Each->second < MinCount ? Counts.erase(Each) : std::next(Each);
  }
}

} // namespace peridot
