/// \file
/// Targets that registered themselves, kept through outages of the store.
#pragma once

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/routing/types/routing_snapshot.h"
#include "state/base/types/instant.h"
#include "state/registry/types/registered_target.h"

namespace peridot {

/// The whole collection was listed.
struct targets_listed {
  std::vector<registered_target> Targets;
};

/// An entry was created or changed.
struct target_changed {
  registered_target Target;
};

/// An entry was removed or is unreadable.
struct target_removed {
  target_name Target;
};

/// A process of a target said in a response that it leaves. What its entry says
/// may be older.
struct target_leaving {
  target_name Target;
  std::int64_t StartedAt = 0; ///< Of the process that said so.
  /// Id of the request that got the response; empty if another VM received it.
  std::string Request;
};

/// No VM that this one knows of reaches the store.
struct store_unavailable {};

/// At least one VM has reached the store without interruption.
struct store_available {
  instant Since{};
};

using registry_event =
    std::variant<targets_listed, target_changed, target_removed, target_leaving,
                 store_unavailable, store_available>;

/// What happened to a target's entry and what the registry did about it.
enum class target_transition {
  Draining, ///< It drains and gets no new requests.
  Leaving,  ///< It said so in a response and gets no new requests.
  Removed,  ///< It has no entry and gets no new requests.
  Kept,     ///< It has no entry but stays in use, as it may be renewed.
  Renewed,  ///< It was kept without an entry and has one again.
  Expired,  ///< It was kept without an entry for too long.
};

std::string_view nameOf(target_transition Transition);

/// One transition of one target, for the log.
struct target_decision {
  target_name Target;
  target_transition Transition = target_transition::Removed;
};

struct registry_options {
  /// Grace period, from when the first VM reaches the store again, in which a
  /// live target renews an entry that expired during the outage. The store
  /// itself may have returned slightly earlier.
  duration RenewalGracePeriod = std::chrono::milliseconds(1'800);
};

/// Keeps a target in use that loses its entry during an outage of the store or
/// up to RenewalGracePeriod afterwards, because it may have been unable to
/// renew it. Draining targets are removed at once. A target that has said that
/// it leaves gets no new requests, whatever its entry says, until the entry is
/// that of a later process or is removed. A VM that cannot reach the
/// store while others do is no sign of an outage: an entry that is removed then
/// belongs to a target that has left.
class target_registry {
public:
  explicit target_registry(registry_options Options = {}) : Options(Options) {}

  /// \returns whether the targets in use may have changed.
  bool handle(const registry_event &Event, instant Now);
  /// Removes targets that are still without an entry after the grace period.
  /// \returns whether there were any.
  bool expire(instant Now);

  /// Returns the transitions since the previous call.
  std::vector<target_decision> takeDecisions() {
    return std::exchange(Decisions, {});
  }

  /// Returns the targets that take new requests, by service.
  target_table table() const;
  std::size_t size() const { return Entries.size(); }
  /// Returns the number of targets in a data centre, in use or not.
  std::size_t countIn(const data_center_name &DataCenter) const;

private:
  struct entry {
    registered_target Target;
    std::optional<instant> MissingSince;
    /// Start of the latest process that has said itself that it leaves. Its
    /// entry may not be known yet.
    std::optional<std::int64_t> LeavingProcess;

    bool isLeaving() const {
      return LeavingProcess && *LeavingProcess >= Target.StartedAt;
    }
  };

  bool accept(const targets_listed &Event, instant Now);
  bool accept(const target_changed &Event, instant Now);
  bool accept(const target_removed &Event, instant Now);
  bool accept(const target_leaving &Event, instant Now);
  bool accept(const store_unavailable &Event, instant Now);
  bool accept(const store_available &Event, instant Now);
  bool mayBeRenewed(instant Now) const;
  bool remove(const target_name &Name, instant Now);
  void recordUpdate(const entry &Previous, const registered_target &Updated);

  registry_options Options;
  std::map<target_name, entry> Entries;
  std::vector<target_decision> Decisions;
  /// Since when the store has been available; empty: it is unavailable.
  std::optional<instant> AvailableSince;
};

} // namespace peridot
