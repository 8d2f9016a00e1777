/// \file
/// Limit of requests to targets that are cold.
///
/// A target that has just started fails if it gets more requests than it bears
/// while cold. All VMs together keep below that without exchanging anything:
/// only one VM sends to a cold target, the first host of the target's data
/// centre in rendezvous order, at a part of the rate that the target bears.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "coordination/load_balancing/types/cold_target_options.h"
#include "state/registry/types/registered_target.h"

namespace peridot {

/// Hosts of this VM's data centre, as this VM sees them.
struct cold_target_hosts {
  std::span<const vm_name> Hosts;
  /// Number of registered VMs of the data centre, whether they run or not.
  std::size_t RegisteredVms = 0;
};

/// What the cold targets of a service mean for the choice of a target.
struct cold_target_choice {
  std::vector<target_name> Closed; ///< Do not get this request.
  /// Should get a request like this one, the longest without one first.
  std::vector<target_name> Due;
};

/// Whether a request may be sent to a target.
enum class cold_admission {
  Warm,   ///< The target is not cold.
  Taken,  ///< The target is cold; a token was taken for the request.
  Closed, ///< The target is cold and does not get the request.
};

/// A target became cold or warm.
struct cold_target_change {
  target_name Target;
  service_name Service;
  std::int64_t StartedAt = 0;
  bool IsCold = false;
  bool IsSender = false; ///< This VM is the one that sends to it.
};

/// Decides which cold targets get requests of this VM; thread-safe. Only
/// services that declare a rate for cold targets are limited.
class cold_targets {
public:
  cold_targets(vm_name Self, data_center_name DataCenter,
               const cold_target_options &Options = {})
      : Self(std::move(Self)), DataCenter(std::move(DataCenter)),
        Options(Options) {}

  /// Applies the services of the configuration in force.
  void setServices(std::span<const service> Services, instant Now);
  /// Applies the hosts; called at least once in HostsLifetime. Without it, this
  /// VM sends nothing to cold targets.
  void setHosts(const cold_target_hosts &Hosts, instant Now);
  /// Applies a list of all entries. Processes in the first one are not new.
  void list(std::span<const registered_target> Listed, instant Now);
  /// Applies a new or changed entry.
  void update(const registered_target &Entry, instant Now);
  void remove(const target_name &Name, instant Now);
  /// Returns which targets became cold or warm since the last call.
  std::vector<cold_target_change> takeChanges(instant Now);

  /// Returns which targets of a service are closed for a request.
  cold_target_choice choiceFor(const service_name &Service, bool IsRepeatable,
                               instant Now) const;
  /// Takes a token for a request for which \p Target was chosen.
  cold_admission take(const target_name &Target, instant Now);
  /// Whether a request may be sent now for which \p Target was chosen, with a
  /// token taken at \p TakenAt if it was cold. Takes another token if that one
  /// is too old.
  bool maySend(const target_name &Target, std::optional<instant> TakenAt,
               instant Now);
  /// Whether any target may be cold; cheap.
  bool mayBeCold() const { return MayBeCold; }
  /// Returns how many requests \p Target can run at once: its slots, or what
  /// it bears while cold. Zero latency: unknown.
  double usableSlots(const target &Target, duration TypicalLatency,
                     instant Now) const;

private:
  /// What a service declares for its cold targets.
  struct warm_up {
    duration Length{0};
    double RequestsPerSecond = 0; ///< 0: not limited.

    bool operator==(const warm_up &) const = default;
  };
  struct entry {
    registered_target Target;
    warm_up WarmUp;
    instant ColdUntil{};             ///< By the target's entries.
    std::optional<instant> NewSince; ///< Empty: it was in the first list.
    std::optional<instant> RemovedAt;
    bool IsCold = false;   ///< As returned by takeChanges().
    bool IsSender = false; ///< Whether this VM sends to it while it is cold.
    double Tokens = 0;
    instant RefilledAt{};
    instant UsedAt{}; ///< When the last token was taken, or it became cold.

    bool isCold(instant Now) const;
  };

  void apply(const registered_target &Target, bool IsNew, instant Now);
  /// Prepares a target that has become cold.
  void beginCold(entry &Entry, instant Now);
  /// Decides again whether this VM sends to a target.
  void updateSender(entry &Entry, instant Now);
  bool isFirstHostFor(const target &Target) const;
  /// Whether so many hosts are listed that other VMs hardly send beside those.
  bool areEnough(const cold_target_hosts &Listed, instant Now);
  entry *findCold(const target_name &Target, instant Now);
  double tokensOf(const entry &Entry, instant Now) const;
  /// Whether this VM may send a request to a cold target.
  bool isOpen(const entry &Entry, instant Now) const;
  bool takeToken(entry &Entry, instant Now);
  void updateMayBeCold(instant Now);

  vm_name Self;
  data_center_name DataCenter;
  cold_target_options Options;
  /// False: no target is cold, so that the lock is not needed.
  std::atomic<bool> MayBeCold{false};
  mutable std::mutex Mutex;
  bool HasList = false; ///< Of all entries.
  std::unordered_map<service_name, warm_up> WarmUps;
  std::map<target_name, entry> Entries;
  std::vector<vm_name> Hosts; ///< Empty: unknown, or too few to rely on.
  std::optional<instant> HostsSetAt;
  /// When each host was last listed, within AbsenceMemory.
  std::map<vm_name, instant> HostsListedAt;
};

} // namespace peridot
