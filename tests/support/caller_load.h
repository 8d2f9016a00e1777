/// \file
/// Callers that send requests to several nodes and record the responses.
#pragma once

#include <atomic>
#include <mutex>
#include <thread>

#include "support/http_client.h"
#include "support/run_checker.h"

namespace peridot::test {

/// Requests that a group of callers sends.
struct caller_options {
  std::string Account;
  std::string Key;
  std::string KeyField = "Peridot-Key";
  std::string Path;
  bool IsRepeatable = false;
  std::vector<std::uint16_t> Ports;   ///< Caller ports, used in turn.
  std::chrono::milliseconds Pause{5}; ///< Between requests of a caller.
  unsigned CallerCount = 2;
};

/// Runs the callers, one thread each, until stop() or destruction.
class caller_load {
public:
  explicit caller_load(caller_options Options);
  ~caller_load();

  /// Stops the callers once their current requests end; returns all records.
  std::vector<response_record> stop();
  /// Number of responses received so far with \p Status.
  std::size_t responseCount(unsigned Status) const;

private:
  void run(unsigned Caller);
  response_record send(http_connection &Connection,
                       const std::string &Id) const;

  caller_options Options;
  std::atomic<bool> IsStopping{false};
  mutable std::mutex Mutex;
  std::vector<response_record> Records;
  std::vector<std::thread> Threads;
};

} // namespace peridot::test
