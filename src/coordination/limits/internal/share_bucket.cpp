#include "coordination/limits/share_bucket.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

/// Maximum number of compare-and-swap attempts to take a token.
constexpr int MaxTakeAttempts = 8;
constexpr double NanosPerSecond = 1e9;
/// Shares with a lower rate, in requests per second, admit nothing.
constexpr double MinRate = 1e-3;

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
    // The settings change only while Arrival is Closed, so a successful
    // exchange means that the settings read above belong to this share.
    if (Arrival.compare_exchange_strong(Seen, Next, std::memory_order_acq_rel))
      return true;
  }
  return false;
}

instant share_bucket::nextToken(instant Now) const {
  const nanos Seen = Arrival.load(std::memory_order_acquire);
  if (Seen == Closed || !isValidAt(Now))
    return instant::max();
  const nanos Ready = Seen + Interval.load() - Tolerance.load();
  return std::max(Now, instant(duration(Ready)));
}

bool share_bucket::isValidAt(instant Now) const {
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

void share_bucket::open(const bucket_settings &Settings, instant Now) {
  if (Settings.Share.Rate < MinRate)
    return;
  const double TokenInterval = std::ceil(NanosPerSecond / Settings.Share.Rate);
  const double Level = std::clamp(Settings.Level, 0.0, Settings.Share.Burst);
  const auto Capacity =
      static_cast<nanos>(Settings.Share.Burst * TokenInterval);
  Interval.store(static_cast<nanos>(TokenInterval), std::memory_order_relaxed);
  Tolerance.store(Capacity, std::memory_order_relaxed);
  ValidUntil.store(nanosOf(Settings.ValidUntil), std::memory_order_relaxed);
  const auto Missing = static_cast<nanos>(
      std::ceil((Settings.Share.Burst - Level) * TokenInterval));
  Arrival.store(nanosOf(Now) + Missing, std::memory_order_release);
}

} // namespace peridot
