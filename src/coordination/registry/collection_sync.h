/// \file
/// Decides which store call to make next to keep the local copy of a collection
/// up to date.
#pragma once

#include <optional>
#include <variant>

#include "state/base/types/instant.h"

namespace peridot {

/// List the whole collection.
struct list_step {};

/// Watch for changes after a position in the store's history.
struct watch_step {
  std::uint64_t After = 0;
};

/// Make no call for a while.
struct pause_step {
  duration Delay{0};
};

using sync_step = std::variant<list_step, watch_step, pause_step>;

struct sync_options {
  /// Pause after a watch that returned changes, so that changes shortly after
  /// each other are read together.
  duration BatchDelay = std::chrono::milliseconds(300);
  duration InitialRetryDelay = std::chrono::milliseconds(100);
  /// Initial value; see collection_sync::setMaxRetryDelay.
  duration MaxRetryDelay = std::chrono::milliseconds(400);
  /// Number of watches and relayed changes after which a collection is listed
  /// again whose last list lacked entries.
  unsigned ResultsPerPartialList = 8;
};

/// Range of store history that another VM has read: all changes after one
/// position, usually that of the last earlier change, up to another.
struct relayed_range {
  std::uint64_t After = 0;
  std::uint64_t Position = 0;
};

/// What to do with changes that another VM relays.
enum class relay_decision {
  Apply,
  Known,  ///< The copy already contains them.
  Missing ///< Earlier changes are missing, so the collection must be listed.
};

/// Lists a collection once, then watches it or applies relayed changes. Lists
/// it again if the store's history is gone, changes are missing or a call
/// failed.
class collection_sync {
public:
  explicit collection_sync(sync_options Options = {}) : Options(Options) {}

  sync_step next();
  /// Whether the result of a list or watch up to \p Reached is not older than
  /// the copy.
  bool accepts(std::uint64_t Reached) const {
    return !Position || Reached >= *Position;
  }
  /// Records that a list or watch brought the copy up to \p Reached, and
  /// whether that changed it.
  void recordPosition(std::uint64_t Reached, bool Changed);
  /// Records that a whole list brought the copy up to \p Reached.
  void recordList(std::uint64_t Reached, bool Changed);
  /// Records a list up to \p Reached that lacks entries. Changes are followed
  /// from the earlier position, if there is one, as only they show removals.
  void recordPartialList(std::uint64_t Reached);
  /// Whether the copy may lack entries that no change will bring.
  bool isPartial() const { return IsPartial; }
  /// Decides whether to apply relayed changes. If the result is Apply, they
  /// count as applied.
  relay_decision acceptRelayed(const relayed_range &Range);
  /// Whether to replace the copy by a snapshot that another VM has sent. If so,
  /// the copy counts as complete up to \p Reached.
  /// \param LastChange position of the last change in the snapshot.
  bool acceptSnapshot(std::uint64_t Reached, std::uint64_t LastChange);
  /// Records that another VM knows of a change at \p LastChange. The relayed
  /// change may still be in transit.
  void recordPeerChange(std::uint64_t LastChange);
  /// Records that there are changes which were not delivered or cannot be
  /// decoded.
  void recordUndelivered() { HasGap |= Position.has_value(); }
  /// Whether changes are known to be missing from an existing copy.
  bool hasGap() const { return HasGap; }
  /// Checks that the changes which other VMs knew of by the previous call have
  /// arrived by now. Must be called periodically.
  void compareWithPeers();
  /// Whether the collection must be listed before further changes can be
  /// applied.
  bool needsList() const { return !Position || Failures > 0 || HasGap; }
  /// \returns the position up to which the copy is complete; 0 if there is no
  /// copy.
  std::uint64_t position() const { return Position.value_or(0); }
  /// \returns the position of the last change in the copy. Unlike position(),
  /// it is the same for all VMs with the same copy, whenever they read it.
  std::uint64_t lastChange() const { return LastChange; }
  /// Records that the store no longer has the history after the position.
  void recordHistoryGone();
  void setMaxRetryDelay(duration MaxDelay) { Options.MaxRetryDelay = MaxDelay; }
  /// Records a failed call. The pause before the next call doubles with each
  /// consecutive failure, up to the maximum.
  void recordFailure();
  /// \returns the number of consecutive failed calls.
  unsigned failureCount() const { return Failures; }

private:
  /// Counts a result that did not list the collection.
  void countResult();

  sync_options Options;
  std::optional<std::uint64_t> Position;
  std::uint64_t LastChange = 0;
  duration Pause{0};
  unsigned Failures = 0;
  /// Whether changes are known to be missing from the copy.
  bool HasGap = false;
  bool IsPartial = false;
  /// Watches and relayed changes since a list that lacked entries.
  unsigned ResultsSincePartialList = 0;
  /// Last change that other VMs know of.
  std::uint64_t PeerChange = 0;
  /// PeerChange at the last comparison.
  std::uint64_t ExpectedChange = 0;
};

} // namespace peridot
