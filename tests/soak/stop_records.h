/// \file
/// Records of the requests that callers send to VMs while these are stopped and
/// restarted, and which of the requests were lost.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "support/run_checker.h"

namespace peridot::test {

/// A request that a caller sent whole.
struct sent_request {
  std::string Id;
  std::string Account;
  std::size_t Vm = 0;
  /// Whether its connection was idle for long, so that the VM may have closed
  /// it while the request was under way.
  bool MayCrossClose = false;
  run_time LastByteAt{};
  run_time EndedAt{};  ///< When its response was complete or its connection
                       ///< ended.
  unsigned Status = 0; ///< 0: the connection ended without a whole response.
  std::string Error;
};

/// One stop of a VM.
struct vm_stop {
  std::size_t Vm = 0;
  run_time SignalledAt{}; ///< When SIGTERM was sent first.
  run_time GoneAt{};      ///< When the process had ended.
  bool WasKilled = false; ///< At the end of the shutdown limit.
};

/// How a request ended that got no whole response.
enum class loss_class {
  Executed, ///< A target executed it.
  Late,     ///< Not executed; closed later than LossSlack after its last byte.
  Crossed,  ///< Not executed; closed within LossSlack.
};

/// A connection that ends within this time may have been closed before its VM
/// could read the request.
constexpr std::chrono::milliseconds LossSlack{200};

/// Returns the class of \p Lost, which got no whole response.
loss_class classOf(const sent_request &Lost, bool IsExecuted);

/// Requests and stops of one run. All member functions may be called from any
/// thread.
class stop_records {
public:
  void addRequest(sent_request Request);
  /// \param Lines all log lines of the stopped process.
  void addStop(const vm_stop &Stop, std::span<const std::string> Lines);

  /// Prints the losses, and the responses of VMs that were stopping.
  /// \param Executed identifiers of the requests that targets executed.
  /// \returns whether no request was lost, save those that may cross the close
  /// of an idle connection, did, and are not in their VM's log, none was
  /// executed that was refused as not run, and no process was killed.
  bool report(const std::set<std::string> &Executed) const;

private:
  /// Requests sent in one half second of a stop, by status or loss.
  using outcome_counts = std::map<std::string, int>;

  /// Returns the stop that was under way when \p Request ended, or the last one
  /// before.
  std::optional<vm_stop> stopOf(const sent_request &Request) const;
  bool reportLosses(const std::set<std::string> &Executed) const;
  void printLoss(const sent_request &Lost, std::string_view Class) const;
  void printStops() const;
  void printOutcomes(const std::set<std::string> &Executed) const;
  void printHeldRefusals() const;
  bool reportRefusedButExecuted(const std::set<std::string> &Executed) const;
  /// Keeps the facts of a log line about a stop.
  void readLine(const std::string &Line);

  mutable std::mutex Mutex;
  std::vector<sent_request> Requests;
  std::vector<vm_stop> Stops;
  /// By request identifier: step, times and cause of its line
  /// request-unanswered.
  std::map<std::string, std::string> UnansweredLines;
  std::map<std::string, int> UnansweredSteps;
  /// By cause of shutdown-finished: milliseconds that the shutdowns took.
  std::map<std::string, std::vector<std::int64_t>> ShutdownTimes;
};

} // namespace peridot::test
