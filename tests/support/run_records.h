/// \file
/// Records of a run with injected faults, as callers, targets and the injection
/// of faults made them.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
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

/// One request that reached a target, and the target's response.
struct arrival_record {
  std::string Target;
  int Process = 0; ///< Differs between processes under the same name.
  std::string RequestId;
  run_time ArrivedAt{};
  std::optional<run_time> RespondedAt; ///< Empty: no response was sent.
  bool SaysLeaving = false; ///< The response says that the target leaves.
  /// For how long the response asks for no requests; 0: it does not.
  std::chrono::milliseconds Pause{0};
};

/// What kept a VM from acting on the responses of targets.
enum class interruption_kind {
  Restart, ///< From the stop of its process until the next one listens.
  Freeze,  ///< Its process does not run.
  Cut,     ///< It does not reach the platform or a target.
};

/// A time in which a VM was interrupted.
struct vm_interruption {
  interruption_kind Kind = interruption_kind::Restart;
  std::uint16_t CallerPort = 0; ///< Of the VM.
  std::string Target; ///< That a cut keeps it from; empty: the platform.
  run_time From{};
  run_time Until{};
};

/// One request and its response, as seen by the caller.
struct response_record {
  std::string RequestId;
  std::string Account;
  std::uint16_t CallerPort = 0; ///< Of the VM that the request was sent to.
  bool IsRepeatable = false;
  run_time SentAt{};
  run_time ReceivedAt{};
  unsigned Status = 0;         ///< 0: the connection ended without a response.
  std::string Outcome;         ///< Value of Peridot-Outcome; empty: none.
  std::string EchoedRequestId; ///< X-Request-Id of the response.
  std::string Target;          ///< X-Target; empty: no response of a target.
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
  RequestAfterLeaving,
  RequestsInPause,
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
  std::vector<arrival_record> Arrivals;
  std::vector<vm_interruption> Interruptions;
};

} // namespace peridot::test
