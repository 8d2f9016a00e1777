/// \file
/// Counters, gauges and latency histograms of this process.
#pragma once

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

/// Monotonic counter; thread-safe.
class counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// A value that rises and falls; thread-safe. Threads that share one add
/// changes, so that it shows the sum of their values.
class gauge {
public:
  void add(std::int64_t Change) {
    Value.fetch_add(Change, std::memory_order_relaxed);
  }
  std::int64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::int64_t> Value{0};
};

/// Histogram whose first bucket ends at 16 microseconds; each further bound is
/// twice the one before. Thread-safe.
class latency_histogram {
public:
  static constexpr std::size_t BucketCount = 24;

  void record(std::chrono::nanoseconds Latency);
  /// Returns the upper bound of a bucket. The last bucket also counts every
  /// longer latency.
  static std::chrono::microseconds upperBound(std::size_t Bucket);
  /// Number of latencies recorded in one bucket.
  std::uint64_t bucket(std::size_t Index) const {
    return Buckets[Index].load(std::memory_order_relaxed);
  }
  /// Number of recorded latencies.
  std::uint64_t count() const;
  /// Sum of all recorded latencies.
  std::chrono::microseconds sum() const;

private:
  std::array<std::atomic<std::uint64_t>, BucketCount> Buckets{};
  std::atomic<std::uint64_t> SumMicroseconds{0};
};

/// Metric name and labels of one time series, for example
/// {"peridot_refusals_total", "kind=\"rate-exceeded\""}.
struct series_name {
  std::string Metric;
  std::string Labels;

  auto operator<=>(const series_name &) const = default;
};

/// Value of one counter when the registry was read.
struct counter_reading {
  series_name Name;
  std::uint64_t Value = 0;
};

/// Value of one gauge when the registry was read.
struct gauge_reading {
  series_name Name;
  std::int64_t Value = 0;
};

/// Owns all time series of the process; thread-safe.
class metrics_registry {
public:
  /// These add the series if it is missing. References stay valid for the
  /// registry's lifetime.
  counter &getOrCreateCounter(std::string_view Metric,
                              std::string_view Labels = "");
  gauge &getOrCreateGauge(std::string_view Metric,
                          std::string_view Labels = "");
  latency_histogram &getOrCreateHistogram(std::string_view Metric,
                                          std::string_view Labels = "");

  std::vector<counter_reading> readCounters() const;
  std::vector<gauge_reading> readGauges() const;
  /// Histograms sorted by name; pointers stay valid for the registry's
  /// lifetime.
  std::vector<std::pair<series_name, const latency_histogram *>>
  histograms() const;

private:
  mutable std::mutex Mutex;
  std::map<series_name, std::unique_ptr<counter>> Counters;
  std::map<series_name, std::unique_ptr<gauge>> Gauges;
  std::map<series_name, std::unique_ptr<latency_histogram>> Histograms;
};

} // namespace peridot
