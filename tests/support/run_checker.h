/// \file
/// Checks the records of a run with injected faults against the guarantees
/// given to callers.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace peridot::test {

using run_time = std::chrono::steady_clock::time_point;

/// One request that a target executed.
struct execution_record {
  std::string RequestId;
  std::string Account;
  bool SawKey = false;
};

/// One request and its response, as seen by the caller.
struct response_record {
  std::string RequestId;
  std::string Account;
  bool IsRepeatable = false;
  run_time SentAt{};
  run_time ReceivedAt{};
  unsigned Status = 0;         ///< 0: the connection ended without a response.
  std::string Outcome;         ///< Value of Peridot-Outcome; empty: none.
  std::string EchoedRequestId; ///< X-Request-Id of the response.
  std::string SentBody;        ///< Request body; the target echoes it.
  std::string ReceivedBody;    ///< Response body.
};

/// Bound on one account's requests: at most
/// Burst + RequestsPerSecond * window.
struct account_envelope {
  std::string Account;
  double RequestsPerSecond = 0;
  double Burst = 0;
  /// Longest window for which the bound holds, in seconds; 0: any window.
  double MaxWindowSeconds = 0;
};

/// Guarantee that a run violated.
enum class violation_kind {
  NotRunButRan,
  RanTwice,
  WrongResponse,
  KeySeenByTarget,
  EnvelopeExceeded,
};

/// One violated guarantee.
struct violation {
  violation_kind Kind = violation_kind::NotRunButRan;
  std::string Detail;
};

/// Records of one run.
struct run_records {
  std::vector<execution_record> Executions;
  std::vector<response_record> Responses;
  std::vector<account_envelope> Envelopes;
};

/// Finds violated guarantees; an empty result is a clean run. Of each envelope,
/// only the first violation is returned.
std::vector<violation> checkRun(const run_records &Records);

/// Parses the execution list of a target stand-in.
std::vector<execution_record> parseExecutions(const std::string &Json);

} // namespace peridot::test
