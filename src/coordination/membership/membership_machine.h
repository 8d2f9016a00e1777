/// \file
/// Membership of the fleet: the platform's list of VMs, corrected by
/// heartbeats.
#pragma once

#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/membership/heartbeat_peers.h"
#include "coordination/membership/types/heartbeat.h"
#include "state/base/types/instant.h"

namespace peridot {

/// The platform's list of VMs was read. It contains no incarnations.
struct vm_list_read {
  std::span<const member> Members;
};

/// A heartbeat of another VM was received.
struct heartbeat_received {
  vm_incarnation Sender;
  heartbeat Heartbeat;
};

/// One heartbeat period has passed; carries the current state of this VM.
struct heartbeat_due {
  bool Leaving = false; ///< Whether this VM is leaving.
  revision Revision;    ///< Configuration in force at this VM.
};

using membership_event =
    std::variant<vm_list_read, heartbeat_received, heartbeat_due>;

struct send_heartbeat {
  vm_name Peer;
  heartbeat Heartbeat;
};

/// A quorum of observers receives no heartbeats from \p Vm.
struct vm_suspected {
  vm_name Vm;
  std::vector<vm_name> Observers;
};

/// \p Vm is no longer suspected.
struct vm_trusted {
  vm_name Vm;
};

using membership_effect =
    std::variant<send_heartbeat, vm_suspected, vm_trusted>;

struct membership_options {
  vm_incarnation Self;
  data_center_name DataCenter;
  heartbeat_peer_options HeartbeatPeers;
  /// Interval between heartbeats.
  duration Period = std::chrono::seconds(1);
  /// Time without a heartbeat after which a heartbeat peer counts as silent.
  duration SilenceLimit = std::chrono::milliseconds(3'500);
  /// Lifetime of an observer's report unless the observer renews it.
  duration ReportLifetime = std::chrono::seconds(5);
  /// How long a report that a VM is leaving overrides the list.
  duration LeavingLifetime = std::chrono::seconds(120);
  /// Number of observers that must report a VM as silent before it is
  /// suspected.
  std::size_t Quorum = 2;
  std::size_t ReportsPerHeartbeat = 4; ///< Maximum number of reports.
  std::size_t LeavingPerHeartbeat = 8; ///< Maximum number of VMs.
  /// Number of heartbeats that announce a leaving VM.
  unsigned LeavingRepeats = 3;
};

/// Detects suspected and leaving VMs. The size of its state and messages
/// depends on the number of heartbeat peers and of current faults, not on the
/// fleet's size; only the list of VMs grows with the fleet.
class membership_machine {
public:
  using effects = std::vector<membership_effect>;

  explicit membership_machine(membership_options Options);

  /// Processes \p Event and returns the effects that the driver performs.
  effects handle(const membership_event &Event, instant Now);
  membership_view view() const;

private:
  struct stored_report {
    std::uint64_t Sequence = 0;
    instant ReportedAt; ///< Time of the report on this VM's clock.
  };
  /// The link from \p Subject to \p Observer that a report is about.
  struct report_key {
    vm_name Subject;
    vm_name Observer;
    auto operator<=>(const report_key &) const = default;
  };
  struct leaving_vm {
    incarnation Incarnation;
    instant LearnedAt;
    unsigned RepeatsLeft = 0;
  };

  void accept(const vm_list_read &Event, instant Now);
  void accept(const heartbeat_received &Event, instant Now);
  void accept(const heartbeat_due &Event, instant Now);

  /// Updates the VMs that must send heartbeats to this one. For a new sender
  /// the silence limit starts at \p Now.
  void updateHeartbeatSenders(instant Now);
  /// Records a leaving VM and announces it at once if it was not known.
  void recordLeaving(const vm_incarnation &Vm, instant Now);
  void recordReport(const link_report &Report, instant Now);
  /// Renews this VM's own reports about silent senders and withdraws the
  /// others.
  void updateOwnReports(instant Now);
  /// Drops expired reports and leaving VMs.
  void expire(instant Now);
  /// Updates the suspected VMs from the reports.
  void updateSuspects();
  void sendHeartbeats(instant Now);
  /// Builds the next heartbeat; it carries the reports in rotation.
  heartbeat nextHeartbeat(instant Now);
  bool isLeaving(const vm_name &Vm) const;

  membership_options Options;
  std::vector<member> Listed;
  std::vector<vm_name> HeartbeatPeers;
  /// Time of the last heartbeat of each VM that must send them to this one.
  std::unordered_map<vm_name, instant> HeartbeatSenders;
  std::unordered_map<vm_name, incarnation> Incarnations;
  std::map<report_key, stored_report> Reports;
  std::map<vm_name, leaving_vm> LeavingVms;
  std::set<vm_name> Suspects;
  report_key LastSentReport; ///< Last report that was sent in the rotation.
  std::uint64_t OwnSequence; ///< Sequence number of this VM's latest report.
  instant LastHeartbeatDueAt;
  heartbeat_due OwnState;
  revision HighestRevision;
  effects Effects;
};

} // namespace peridot
