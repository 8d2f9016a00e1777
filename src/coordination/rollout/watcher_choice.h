/// \file
/// Selects the VMs that watch the platform's configuration and the upstream
/// peers of each VM.
///
/// The VMs of a data centre are ranked by rendezvous hashing. The first ones
/// are the watchers. The others form a tree below them, in which each VM sends
/// requests to a VM of a better rank. This keeps both the number of hops and
/// the number of requests per VM low.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "state/base/types/instant.h"

namespace peridot {

struct rollout_watcher_options {
  std::size_t WatchersPerDataCenter = 2;
  /// Number of VMs that share one upstream peer.
  std::size_t FanOut = 8;
  /// Time without a watcher's report after which the VM next in rank becomes a
  /// watcher.
  duration SilenceLimit = std::chrono::seconds(2);
  /// Additional wait for each further rank.
  duration RankDelay = std::chrono::milliseconds(250);
};

/// Returns the VMs of \p DataCenter in order of rank, without leaving VMs.
std::vector<vm_name> rankRolloutWatchers(const data_center_name &DataCenter,
                                         std::span<const member> Members);

/// A VM and the fleet view that its role is derived from.
struct rollout_watcher_context {
  vm_name Self;
  data_center_name DataCenter;
  std::span<const member> Members;
};

/// Returns whether this VM watches the platform.
/// \param SinceReport time since the newest report of a watcher in this VM's
///        data centre; empty if there has been none.
bool shouldWatchPlatform(const rollout_watcher_context &Context,
                         std::optional<duration> SinceReport,
                         const rollout_watcher_options &Options);

/// Returns this VM's upstream peers: for a watcher or a VM without a rank, one
/// other watcher of each data centre; for the rest, one VM of a better rank in
/// their data centre.
std::vector<vm_name>
chooseUpstreamPeers(const rollout_watcher_context &Context,
                    const rollout_watcher_options &Options);

} // namespace peridot
