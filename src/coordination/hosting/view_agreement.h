/// \file
/// Agreement of the hosts on the view by which limits are divided.
///
/// A view is what decides the form of a limit (whole or divided) and its
/// primary: the hosts, the stable hosts, and the limits. Its version is a hash
/// of these, so that each VM computes it without asking anyone, and VMs with
/// equal versions use parts of one division. A VM reports the version that it
/// acts on, that is, by which its parts have shrunk already. A data centre
/// reports a version to the others once all of its hosts act on it. When all
/// hosts of the view act on it, parts may grow at once.
///
/// A report binds its sender: for demand_options::GrowthDelay after it, the
/// sender uses no more than is due by that view, unless all hosts agree on
/// another. Reports count for less time than that. A VM that is silent, or that
/// acts on another view, holds its part until its lease ends.
#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <vector>

#include "coordination/hosting/host_election.h"
#include "coordination/hosting/types/host_messages.h"
#include "state/base/types/instant.h"

namespace peridot {

struct view_agreement_options {
  /// Maximum age of a report that counts. A data centre's version may be twice
  /// as old; that is less than demand_options::GrowthDelay.
  duration MaxReportAge = std::chrono::milliseconds(700);
  /// Time without a report after which a VM that is no host any more holds no
  /// part: it misses the others after hosting_options::SilenceLimit, too, and
  /// acts on that at its next tick.
  duration LeaseTime = std::chrono::milliseconds(2'200);
  /// A version that was left so recently may be that of a delayed report.
  duration ReuseDelay = std::chrono::seconds(3);
  /// How long reports of such a version do not count.
  duration ReusedVersionWait = std::chrono::milliseconds(1'500);
};

/// Returns the version of a view; never 0.
/// \param LimitsHash identifies the limits and the tolerance.
view_version versionOf(const fleet_hosts &Fleet, std::uint64_t LimitsHash);

class view_agreement {
public:
  view_agreement(vm_name Self, data_center_name DataCenter,
                 view_agreement_options Options = {})
      : Self(std::move(Self)), DataCenter(std::move(DataCenter)),
        Options(Options) {}

  /// Sets the view that this VM acts on.
  /// \returns whether it differs from the last one.
  bool adopt(const fleet_hosts &Fleet, std::uint64_t LimitsHash, instant Now);
  /// Returns the version that this VM acts on; 0 before the first adopt().
  view_version version() const { return Version; }
  /// Returns the hosts of a data centre in the view.
  std::span<const vm_name> hostsOf(const data_center_name &Where) const;

  /// Records the version that a VM of this VM's data centre acts on.
  void recordReport(const vm_name &Vm, view_version Reported, instant Now);
  /// Records the version on which the hosts of another data centre act.
  /// \returns false if the report contradicts itself: it names this VM's view,
  /// but other hosts than that view has. It then counts as of unknown version.
  [[nodiscard]] bool recordReport(const data_center_report &Report,
                                  instant Now);

  /// Returns the version if all hosts of this VM's data centre act on it;
  /// otherwise 0.
  view_version localVersion(instant Now) const;
  /// Whether all hosts of the view act on it.
  bool isAgreed(instant Now) const;

private:
  friend struct state_digest; ///< Tests recognise equal states by it.

  struct reported_version {
    view_version Version = 0;
    instant ReceivedAt{};
  };

  bool isCurrent(const reported_version &Reported, instant Now) const {
    return Reported.Version == Version &&
           Now - Reported.ReceivedAt <= Options.MaxReportAge;
  }

  vm_name Self;
  data_center_name DataCenter;
  view_agreement_options Options;
  view_version Version = 0;
  instant AdoptedAt{};
  bool IsReused = false; ///< Version was left shortly before AdoptedAt.
  bool HasSilentHosts = false;
  std::map<data_center_name, std::vector<vm_name>> Hosts;
  std::map<view_version, instant> LeftAt; ///< Versions left in ReuseDelay.
  std::map<vm_name, reported_version> LocalVms;
  std::map<data_center_name, reported_version> DataCenters;
};

} // namespace peridot
