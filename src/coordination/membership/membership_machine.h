/// \file
/// Which VMs are there: the platform's list, corrected by heartbeats.
#pragma once

#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <variant>
#include <vector>

#include "coordination/membership/neighbours.h"
#include "coordination/membership/types/heartbeat.h"
#include "state/base/types/instant.h"

namespace peridot {

/// The platform's list was read; incarnations are not known to it.
struct vms_listed {
  std::span<const member> Members;
};

struct heartbeat_received {
  vm_incarnation Sender;
  heartbeat Heartbeat;
};

/// One heartbeat period has passed.
struct heartbeat_due {
  bool Leaving = false; ///< This VM is leaving.
  revision Revision;    ///< In force at this VM.
};

using membership_event =
    std::variant<vms_listed, heartbeat_received, heartbeat_due>;

struct send_heartbeat {
  vm_name Peer;
  heartbeat Heartbeat;
};

struct vm_suspected {
  vm_name Vm;
  std::vector<vm_name> Observers;
};

struct vm_trusted {
  vm_name Vm;
};

using membership_effect =
    std::variant<send_heartbeat, vm_suspected, vm_trusted>;

struct membership_options {
  vm_incarnation Self;
  data_center_name DataCenter;
  neighbour_options Neighbours;
  duration Period = std::chrono::seconds(1);
  /// A neighbour is unheard after this time without a heartbeat.
  duration SilenceLimit = std::chrono::milliseconds(3'500);
  /// How long an observer's statement counts after it was last renewed.
  duration ReportLifetime = std::chrono::seconds(5);
  /// How long word of a leaving VM counts against the list.
  duration LeavingLifetime = std::chrono::seconds(120);
  std::size_t Quorum = 2; ///< Observers that must agree on a suspicion.
  std::size_t ReportsPerHeartbeat = 4;
  std::size_t LeavingPerHeartbeat = 8;
  unsigned LeavingRepeats = 3;
};

/// State and messages grow with the neighbours and with what is wrong, not
/// with the fleet; only the list itself is as long as the fleet.
class membership_machine {
public:
  using effects = std::vector<membership_effect>;

  explicit membership_machine(membership_options Options);

  effects handle(const membership_event &Event, instant Now);
  membership_view view() const;

private:
  struct noted_report {
    std::uint64_t Sequence = 0;
    instant StatedAt; ///< On this VM's clock.
  };
  struct report_key {
    vm_name Subject;
    vm_name Observer;
    auto operator<=>(const report_key &) const = default;
  };
  struct leaving_vm {
    incarnation Incarnation;
    instant Since;
    unsigned RepeatsLeft = 0;
  };

  void accept(const vms_listed &Event, instant Now);
  void accept(const heartbeat_received &Event, instant Now);
  void accept(const heartbeat_due &Event, instant Now);

  void findSources(instant Now);
  void noteLeaving(const vm_incarnation &Vm, instant Now);
  void noteReport(const link_report &Report, instant Now);
  void reportSilence(instant Now);
  void expire(instant Now);
  void judge();
  void sendHeartbeats(instant Now);
  heartbeat nextHeartbeat(instant Now);
  bool isLeaving(const vm_name &Vm) const;

  membership_options Options;
  std::vector<member> Listed;
  std::vector<vm_name> Neighbours;
  /// When VMs that send heartbeats to this one were last heard.
  std::unordered_map<vm_name, instant> Sources;
  std::unordered_map<vm_name, incarnation> Incarnations;
  std::map<report_key, noted_report> Reports;
  std::map<vm_name, leaving_vm> LeavingVms;
  std::set<vm_name> Suspects;
  report_key LastRelayed;
  std::uint64_t OwnSequence;
  instant LastDue;
  heartbeat_due Own;
  revision HighestRevision;
  effects Effects;
};

} // namespace peridot
