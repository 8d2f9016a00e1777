/// \file
/// Requests that reached the target's stand-in, and what its responses
/// announced.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot::stand_in {

/// What a response announces about its target.
struct announcement {
  bool IsLeaving = false;
  std::chrono::milliseconds Pause{0}; ///< 0: none, or no valid one.
};

/// Records arrivals and responses on the clock that all processes share.
class arrival_log {
public:
  using clock = std::chrono::steady_clock;

  /// \param Process differs between processes under the same name.
  /// \returns the arrival's number.
  std::size_t recordArrival(std::string_view RequestId, int Process);
  void recordResponse(std::size_t Arrival, const announcement &Announced);
  /// Encodes all arrivals at \p Target as a JSON array; times in nanoseconds.
  std::string encode(std::string_view Target) const;

private:
  struct arrival {
    std::string RequestId;
    int Process = 0;
    clock::time_point ArrivedAt;
    std::optional<clock::time_point> RespondedAt;
    announcement Announced;
  };

  std::vector<arrival> Arrivals;
};

/// Returns the time in a Retry-After field; 0 if it is not a positive number of
/// seconds.
std::chrono::milliseconds parsePause(std::string_view RetryAfter);

} // namespace peridot::stand_in
