/// \file
/// Relays one admitted request to a target and the answer back, with bounded
/// memory.
#pragma once

#include <optional>

#include "coordination/routing/outcome_table.h"
#include "transport/callers/internal/caller_session.h"

namespace peridot {

/// How the relay ended.
struct relay_result {
  /// Set when no byte of an answer went to the caller yet.
  std::optional<refusal> Refusal;
  /// True when the caller's connection can carry another request.
  bool KeepCaller = false;
};

/// Serves one request; made anew for each.
class request_relay {
public:
  request_relay(traffic_worker &Worker, tcp_stream &Caller,
                boost::beast::flat_buffer &CallerBuffer,
                caller_request_parser &Request)
      : Worker(Worker), Caller(Caller), CallerBuffer(CallerBuffer),
        Request(Request) {}

  task<relay_result> run(const admitted_request &Admitted,
                         const routing_snapshot &Snapshot);

private:
  /// What one attempt at one target came to.
  struct attempt_result {
    bool Whole = false; ///< The whole answer was passed on.
    bool ReusedConnection = false;
    unsigned Status = 0; ///< Of the target's answer; 0: none came.
    boost::system::error_code Error;
    attempt_progress Progress = attempt_progress::NotConnected;
    std::string Detail;
  };

  const target *choose(const admitted_request &Admitted,
                       const routing_snapshot &Snapshot);
  void observe(const service &Service, const target &Target,
               const attempt_result &Result, instant StartedAt);
  task<attempt_result> attempt(const target &Target, const route &Route);
  task<target_connection_ptr> connect(const target &Target, bool Fresh);
  /// Sends head and body; empty on success.
  task<boost::system::error_code> sendRequest(target_connection &Connection,
                                              attempt_progress &Progress);
  task<boost::system::error_code> passAnswer(target_connection &Connection,
                                             attempt_result &Result,
                                             bool &Reusable);

  traffic_worker &Worker;
  tcp_stream &Caller;
  boost::beast::flat_buffer &CallerBuffer;
  caller_request_parser &Request;
  std::vector<target_name> Tried;
  bool BodyStarted = false;
  bool CallerGotBytes = false;
  bool KeepCaller = false;
  std::chrono::steady_clock::time_point Deadline{};
};

} // namespace peridot
