/// \file
/// How the target stand-in behaves and what it has seen.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace peridot::stand_in {

/// Faults of a target, as a test sets them.
struct target_behaviour {
  std::chrono::milliseconds Delay{0};
  unsigned FailPercent = 0; ///< Answers 500 after running the request.
  unsigned SlowPercent = 0; ///< Requests that take SlowDelay.
  std::chrono::milliseconds SlowDelay{0};
  unsigned SilentPercent = 0; ///< Runs the request and never answers.
  unsigned DropPercent = 0;   ///< Runs the request and closes.
  std::int64_t TruncateAt = -1;
  bool Shed = false;           ///< Refuses before running, and says so.
  bool Draining = false;       ///< Says so in each answer.
  std::size_t AnswerBytes = 0; ///< Size of the answer; 0: echo the body.
};

/// Parses the query of /admin/behaviour.
target_behaviour parseBehaviour(std::string_view Target);

/// One request that the target ran.
struct execution {
  std::string RequestId;
  std::string Account;
  bool SawKey = false;
};

std::string encodeExecutions(const std::vector<execution> &Executions);

} // namespace peridot::stand_in
