/// \file
/// Elects the VMs of a data centre that watch the platform's store for the
/// others.
///
/// Calls to the store are billed, messages within a data centre are not. So two
/// watchers watch the store and relay its changes to the other VMs.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "coordination/registry/types/store_messages.h"
#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

struct watcher_options {
  std::size_t WatcherCount = 2; ///< Number of watchers in each data centre.
  /// A watcher counts as lost after it has sent no report for this long.
  duration SilenceLimit = std::chrono::milliseconds(1'200);
  /// While at least one other watcher is available, a VM waits this long for
  /// each VM ranked before it, then replaces a lost watcher.
  duration Stagger = std::chrono::milliseconds(300);
  /// Added to the wait of a VM that has received no report since its start:
  /// after a start of all VMs it does not know the ranking yet.
  duration StartDelay = std::chrono::milliseconds(400);
  /// While no watcher is available, a VM waits this long, multiplied by the
  /// square root of the number of VMs ranked before it. So a few VMs take over
  /// and not all at once, and none waits long.
  duration TakeoverStagger = std::chrono::milliseconds(100);
  /// While the store is unavailable to all watchers, only the VMs ranked first
  /// check whether it has returned. Their number grows with each second, in
  /// case that it is unavailable to just these.
  std::size_t CheckerCount = 4;
  std::size_t CheckersPerSecond = 2;
  /// Time between two checks by a watcher whether the store is available again.
  duration CheckPeriod = std::chrono::milliseconds(400);
  /// Added to the period once for each rank of a VM below the watchers.
  duration CheckStagger = std::chrono::milliseconds(200);
  /// Upper bound of the period with these additions.
  duration MaxCheckPeriod = std::chrono::seconds(3);
  /// Period of a VM that cannot reach the store while a watcher can.
  duration CheckPeriodWhileOthersWatch = std::chrono::seconds(1);
};

/// Derives the watchers from the ranking of a data centre's VMs and from the
/// watchers' reports.
class watcher_election {
public:
  explicit watcher_election(vm_name Self, watcher_options Options = {})
      : Self(std::move(Self)), Options(Options) {}

  /// Sets the VMs of the data centre, including this one, in the order in which
  /// they become watchers.
  void setRanking(std::span<const vm_name> Ranked);
  /// Records a watcher's report. Reports of VMs outside the ranking are
  /// ignored.
  void recordReport(const vm_name &Vm, const watcher_report &Report,
                    instant Now);

  /// Whether this VM should watch the store itself.
  bool shouldSelfWatch(instant Now);
  /// Returns after which time shouldSelfWatch() may change without a report;
  /// nullopt if it waits for none.
  std::optional<duration> timeToTakeover(instant Now) const;
  /// Returns the other VMs that recently reported the store as available, by
  /// rank.
  std::vector<vm_name> watchers(instant Now) const;
  /// Whether all watchers that reported recently say that the store is
  /// unavailable, and there is at least one.
  bool isStoreUnreachableForWatchers(instant Now) const;
  /// Returns the time between two checks by this VM whether the store is
  /// available again.
  duration storeCheckPeriod(instant Now) const;

private:
  struct received_report {
    bool StoreResponds = false;
    instant ReceivedAt{};
  };

  bool isReporting(const vm_name &Vm, instant Now) const;
  bool isAvailable(const vm_name &Vm, instant Now) const;
  /// Returns the VMs ranked before this one.
  std::span<const vm_name> rankedBefore() const;
  /// Whether an outage of the store, which has lasted for \p Waited, is left to
  /// other VMs that check for its end.
  bool isCheckedByOthers(duration Waited, instant Now) const;
  /// Returns how long too few watchers must have been available until this VM
  /// takes over.
  duration takeoverDelay(instant Now) const;

  vm_name Self;
  watcher_options Options;
  std::vector<vm_name> Order;
  std::map<vm_name, received_report> Reports;
  bool HasReceivedReport = false; ///< Since the start.
  /// When the number of watchers ranked before this VM became too small.
  std::optional<instant> TooFewSince;
};

} // namespace peridot
