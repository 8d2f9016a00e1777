#include "state/metrics/metrics_registry.h"

#include <algorithm>
#include <bit>

namespace peridot {

namespace {

constexpr std::uint64_t FirstBoundMicroseconds = 16;

template <typename Series, typename Map>
Series &getOrCreate(Map &All, std::string_view Metric,
                    std::string_view Labels) {
  auto &Slot = All[series_name{std::string(Metric), std::string(Labels)}];
  if (!Slot)
    Slot = std::make_unique<Series>();
  return *Slot;
}

} // namespace

void latency_histogram::record(std::chrono::nanoseconds Latency) {
  const auto Micros = static_cast<std::uint64_t>(std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::microseconds>(Latency).count()));
  const auto Index =
      static_cast<std::size_t>(std::bit_width(Micros / FirstBoundMicroseconds));
  Buckets[std::min(Index, BucketCount - 1)].fetch_add(
      1, std::memory_order_relaxed);
  SumMicroseconds.fetch_add(Micros, std::memory_order_relaxed);
}

std::chrono::microseconds latency_histogram::upperBound(std::size_t Bucket) {
  return std::chrono::microseconds(FirstBoundMicroseconds << Bucket);
}

std::uint64_t latency_histogram::count() const {
  std::uint64_t Total = 0;
  for (const auto &Bucket : Buckets)
    Total += Bucket.load(std::memory_order_relaxed);
  return Total;
}

std::chrono::microseconds latency_histogram::sum() const {
  return std::chrono::microseconds(
      SumMicroseconds.load(std::memory_order_relaxed));
}

counter &metrics_registry::getOrCreateCounter(std::string_view Metric,
                                              std::string_view Labels) {
  const std::lock_guard Lock(Mutex);
  return getOrCreate<counter>(Counters, Metric, Labels);
}

gauge &metrics_registry::getOrCreateGauge(std::string_view Metric,
                                          std::string_view Labels) {
  const std::lock_guard Lock(Mutex);
  return getOrCreate<gauge>(Gauges, Metric, Labels);
}

latency_histogram &
metrics_registry::getOrCreateHistogram(std::string_view Metric,
                                       std::string_view Labels) {
  const std::lock_guard Lock(Mutex);
  return getOrCreate<latency_histogram>(Histograms, Metric, Labels);
}

std::vector<counter_reading> metrics_registry::readCounters() const {
  const std::lock_guard Lock(Mutex);
  std::vector<counter_reading> Readings;
  Readings.reserve(Counters.size());
  for (const auto &[Name, Counter] : Counters)
    Readings.push_back({Name, Counter->value()});
  return Readings;
}

std::vector<gauge_reading> metrics_registry::readGauges() const {
  const std::lock_guard Lock(Mutex);
  std::vector<gauge_reading> Readings;
  Readings.reserve(Gauges.size());
  for (const auto &[Name, Gauge] : Gauges)
    Readings.push_back({Name, Gauge->value()});
  return Readings;
}

std::vector<std::pair<series_name, const latency_histogram *>>
metrics_registry::histograms() const {
  const std::lock_guard Lock(Mutex);
  std::vector<std::pair<series_name, const latency_histogram *>> All;
  All.reserve(Histograms.size());
  for (const auto &[Name, Histogram] : Histograms)
    All.emplace_back(Name, Histogram.get());
  return All;
}

} // namespace peridot
