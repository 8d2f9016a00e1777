#include "coordination/limits/share_bucket.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Attempts to change a bucket that other threads change too.
constexpr int MaxTakeAttempts = 8;
constexpr double NanosPerSecond = 1e9;
/// Shares with a lower rate, per second, admit nothing.
constexpr double LeastRate = 1e-3;

duration::rep nanosOf(instant At) { return At.time_since_epoch().count(); }

} // namespace

bool share_bucket::take(instant Now) {
  const nanos At = nanosOf(Now);
  for (int Attempt = 0; Attempt < MaxTakeAttempts; ++Attempt) {
    nanos Seen = Arrival.load(std::memory_order_acquire);
    if (Seen == Closed || At >= ValidUntil.load(std::memory_order_relaxed))
      return false;
    const nanos Next =
        std::max(Seen, At) + Interval.load(std::memory_order_relaxed);
    if (Next > At + Tolerance.load(std::memory_order_relaxed))
      return false;
    // Terms change only while Arrival is Closed, so that success means that
    // the terms read belong to this share.
    if (Arrival.compare_exchange_strong(Seen, Next, std::memory_order_acq_rel))
      return true;
  }
  return false;
}

instant share_bucket::nextToken(instant Now) const {
  const nanos Seen = Arrival.load(std::memory_order_acquire);
  if (Seen == Closed || !validAt(Now))
    return instant::max();
  const nanos Ready = Seen + Interval.load() - Tolerance.load();
  return std::max(Now, instant(duration(Ready)));
}

bool share_bucket::validAt(instant Now) const {
  return Arrival.load(std::memory_order_acquire) != Closed &&
         nanosOf(Now) < ValidUntil.load(std::memory_order_relaxed);
}

double share_bucket::levelOf(nanos At, instant Now) const {
  if (At == Closed || nanosOf(Now) >= ValidUntil.load())
    return 0;
  const nanos Ahead = std::max<nanos>(0, At - nanosOf(Now));
  const nanos Left = std::max<nanos>(0, Tolerance.load() - Ahead);
  return static_cast<double>(Left) / static_cast<double>(Interval.load());
}

double share_bucket::level(instant Now) const {
  return levelOf(Arrival.load(std::memory_order_acquire), Now);
}

double share_bucket::close(instant Now) {
  return levelOf(Arrival.exchange(Closed, std::memory_order_acq_rel), Now);
}

void share_bucket::open(const bucket_terms &Terms, instant Now) {
  if (Terms.Share.Rate < LeastRate)
    return;
  const double Gap = std::ceil(NanosPerSecond / Terms.Share.Rate);
  const double Level = std::clamp(Terms.Level, 0.0, Terms.Share.Burst);
  const auto Room = static_cast<nanos>(Terms.Share.Burst * Gap);
  Interval.store(static_cast<nanos>(Gap), std::memory_order_relaxed);
  Tolerance.store(Room, std::memory_order_relaxed);
  ValidUntil.store(nanosOf(Terms.ValidUntil), std::memory_order_relaxed);
  const auto Missing =
      static_cast<nanos>(std::ceil((Terms.Share.Burst - Level) * Gap));
  Arrival.store(nanosOf(Now) + Missing, std::memory_order_release);
}

} // namespace peridot
