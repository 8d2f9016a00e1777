/// \file
/// Counters and latency histograms of this process.
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

/// A number that only grows; safe to add to from any thread.
class counter {
public:
  void add(std::uint64_t Amount = 1) {
    Value.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value{0};
};

/// Latencies in buckets that double from 16 microseconds on.
class latency_histogram {
public:
  static constexpr std::size_t BucketCount = 24;

  void record(std::chrono::nanoseconds Latency);
  /// Upper bound of a bucket; the last one has no bound.
  static std::chrono::microseconds upperBound(std::size_t Bucket);
  std::uint64_t bucket(std::size_t Index) const {
    return Buckets[Index].load(std::memory_order_relaxed);
  }
  std::uint64_t count() const;
  /// Sum of all recorded latencies.
  std::chrono::microseconds sum() const;

private:
  std::array<std::atomic<std::uint64_t>, BucketCount> Buckets{};
  std::atomic<std::uint64_t> SumMicroseconds{0};
};

/// Name and label of one time series, for example
/// {"peridot_refusals_total", "kind=\"rate-exceeded\""}.
struct series_name {
  std::string Metric;
  std::string Labels;

  auto operator<=>(const series_name &) const = default;
};

/// One counter's reading.
struct counter_reading {
  series_name Name;
  std::uint64_t Value = 0;
};

/// Owns all series; a reference stays valid as long as the registry.
class metrics_registry {
public:
  counter &counterOf(std::string_view Metric, std::string_view Labels = "");
  latency_histogram &histogramOf(std::string_view Metric,
                                 std::string_view Labels = "");

  std::vector<counter_reading> readCounters() const;
  /// Histograms by name; pointers stay valid as long as the registry.
  std::vector<std::pair<series_name, const latency_histogram *>>
  histograms() const;

private:
  mutable std::mutex Mutex;
  std::map<series_name, std::unique_ptr<counter>> Counters;
  std::map<series_name, std::unique_ptr<latency_histogram>> Histograms;
};

} // namespace peridot
