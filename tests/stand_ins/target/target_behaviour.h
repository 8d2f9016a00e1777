/// \file
/// Behaviour of the target's stand-in and the requests that it ran.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace peridot::stand_in {

/// Faults and responses of a target, set by a test. Each percentage is the
/// probability that a request is affected.
struct target_behaviour {
  std::chrono::milliseconds Delay{0};
  unsigned FailPercent = 0; ///< Runs the request and responds 500.
  unsigned SlowPercent = 0; ///< Takes SlowDelay instead of Delay.
  std::chrono::milliseconds SlowDelay{0};
  unsigned SilentPercent = 0; ///< Runs the request and never responds.
  unsigned DropPercent = 0;   ///< Runs the request and closes the connection.
  /// Closes the connection after this many bytes of the body; negative: never.
  std::int64_t TruncateAt = -1;
  /// Refuses requests without running them, and reports that in the response.
  bool IsShedding = false;
  /// Value of Retry-After in these responses; empty: none.
  std::string RetryAfter;
  bool IsDraining = false; ///< Reports the state draining in each response.
  /// Size of the response body; 0 echoes the request body.
  std::size_t ResponseBytes = 0;
};

/// What a target announces in all its responses, whatever its behaviour.
struct target_announcements {
  /// Differs between processes under the same name.
  int Process = 1;
  bool IsLeaving = false;
  /// Refuses all requests with this Retry-After; empty: refuses none.
  std::string RetryAfter;
};

/// Counts the requests that arrive although an earlier response asked for a
/// pause, after a tolerance of half a second.
class pause_monitor {
public:
  using clock = std::chrono::steady_clock;

  void recordArrival(clock::time_point Now);
  void recordResponse(clock::time_point Now, const std::string &RetryAfter);
  /// Returns the highest number of requests in the pause of one response.
  std::size_t maxArrivals() const;

private:
  struct pause {
    clock::time_point From;
    clock::time_point Until;
    std::size_t Arrivals = 0;
  };

  std::vector<pause> Pauses;
};

/// Parses the query of /admin/behaviour.
target_behaviour parseBehaviour(std::string_view Target);
/// Parses the query of /admin/announcements.
target_announcements parseAnnouncements(std::string_view Target);

/// A request that the target ran.
struct execution {
  std::string RequestId;
  std::string Account;
  bool HadKey = false; ///< Whether the request carried a client's key.
};

/// Encodes the executions as a JSON array.
std::string encodeExecutions(const std::vector<execution> &Executions);

} // namespace peridot::stand_in
