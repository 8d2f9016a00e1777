/// \file
/// Which VMs watch the platform, and whom each VM asks for news of it.
///
/// VMs of a data centre are ranked by rendezvous hashing. The first are the
/// feeders; the others ask those before them in a tree, so that news needs few
/// hops and nobody answers many.
#pragma once

#include <optional>
#include <span>
#include <vector>

#include "coordination/membership/types/membership_view.h"
#include "state/base/types/instant.h"

namespace peridot {

struct feeder_options {
  std::size_t FeedersPerDataCenter = 2;
  /// VMs that ask one VM.
  std::size_t FanOut = 8;
  /// The next in rank steps in when no feeder was heard for this long, ...
  duration Silence = std::chrono::seconds(2);
  /// ... and each one after it waits this much longer.
  duration RankDelay = std::chrono::milliseconds(250);
};

/// VMs of \p DataCenter in order of rank; leaving ones are left out.
std::vector<vm_name> rankFeeders(const data_center_name &DataCenter,
                                 std::span<const member> Members);

/// One VM's place in the fleet.
struct feeder_position {
  vm_name Self;
  data_center_name DataCenter;
  std::span<const member> Members;
};

/// True if this VM watches the platform.
/// \param SinceReport time since a feeder of the own data centre was heard of;
///        empty: never.
bool shouldFeed(const feeder_position &Position,
                std::optional<duration> SinceReport,
                const feeder_options &Options);

/// Whom this VM asks: feeders ask each other across data centres, the others
/// ask one VM that stands before them.
std::vector<vm_name> chooseInformants(const feeder_position &Position,
                                      const feeder_options &Options);

} // namespace peridot
