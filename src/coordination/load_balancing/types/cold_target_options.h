/// \file
/// Options of the limit on requests to cold targets.
#pragma once

#include "state/base/types/instant.h"

namespace peridot {

/// Limits of requests to targets that are cold. Three VMs that each take
/// themselves for the sender stay together within one and a half times the rate
/// that a target bears, and a few requests.
struct cold_target_options {
  /// Fraction of the rate that a target bears which one VM sends.
  double RateShare = 0.5;
  /// Maximum number of tokens that are saved up.
  double Burst = 1;
  /// Maximum time for which a new sender waits for its first token.
  duration MaxFirstWait = std::chrono::seconds(1);
  /// Hosts that were not confirmed for longer are unknown: this VM may have
  /// been frozen, and others send in its place.
  duration HostsLifetime = std::chrono::milliseconds(1'200);
  /// Time for which hosts that are no longer listed count as cut off from this
  /// VM rather than as gone.
  duration AbsenceMemory = std::chrono::seconds(10);
  /// Fraction of these hosts that must be listed. A data centre that falls
  /// apart then has at most three parts with a sender for each target.
  double MinListedFraction = 1.0 / 3;
  /// A host that knows of no other does not send if more VMs than this are
  /// registered in its data centre, as each of them may be as alone.
  std::size_t MaxVmsOfLoneHost = 3;
  /// A request that was not sent within this time of its token takes another
  /// one, so that requests that waited are not sent together.
  duration TokenLifetime = std::chrono::milliseconds(100);
  /// Added to the time that an entry says, for the time that reading may take.
  duration ReadingMargin = std::chrono::milliseconds(300);
  /// Longer times in entries are shortened to this, so that one entry cannot
  /// keep a target cold for good.
  duration MaxWarmUp = std::chrono::minutes(1);
  /// A cold target without a request for this time gets the next one that is
  /// repeatable, and takes others.
  duration DueAfter = std::chrono::seconds(1);
  /// A cold target without a request for this time gets the next one.
  duration OverdueAfter = std::chrono::seconds(2);
  /// Time for which removed targets are known. A process that renews its entry
  /// is not new.
  duration RemovedMemory = std::chrono::minutes(10);
};

} // namespace peridot
