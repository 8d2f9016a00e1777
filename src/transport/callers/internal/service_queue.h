/// \file
/// Queues of one traffic thread in which requests wait for a free slot of their
/// service.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>

#include <boost/asio/steady_timer.hpp>

#include "coordination/capacity/capacity_shortage.h"
#include "coordination/capacity/completion_rate.h"
#include "coordination/capacity/request_queue.h"
#include "coordination/capacity/return_line.h"
#include "coordination/capacity/service_loads.h"
#include "coordination/capacity/service_room.h"
#include "coordination/load_balancing/cold_targets.h"
#include "coordination/load_balancing/target_pauses.h"
#include "coordination/routing/admission.h"
#include "state/metrics/metrics_registry.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// A slot of a service, occupied by one running request. The destructor frees
/// the slot for the next request in the queue.
class service_slot {
public:
  explicit service_slot(std::function<void()> Release)
      : Release(std::move(Release)) {}
  service_slot(service_slot &&Other) noexcept
      : Release(std::exchange(Other.Release, nullptr)) {}
  service_slot &operator=(service_slot &&) = delete;
  ~service_slot() {
    if (Release)
      Release();
  }

private:
  std::function<void()> Release;
};

/// Either a slot, with which the request may run, or a refusal.
using slot_result = std::variant<service_slot, refusal>;

/// A request that needs a slot.
struct slot_request {
  admitted_request Admitted;
  request_times Times;
  std::uint64_t Random = 0; ///< Uniformly distributed bits.
};

/// Queues of all services; used on the traffic thread only.
class service_queues {
public:
  /// The parameters must outlive the queues.
  service_queues(const target_pauses &Pauses, metrics_registry &Metrics,
                 service_loads &Loads)
      : Pauses(Pauses), Metrics(Metrics), Loads(Loads) {}
  /// Counts cold targets with what they bear. \p Limit: null for none.
  void limitColdTargets(const cold_targets *Limit) { ColdTargets = Limit; }

  /// Waits until the service has a free slot for the request. Refuses it with
  /// QueueFull (not-run) if it does not fit in the queue, is displaced from
  /// the queue, cannot run in time or waits too long, and with ShuttingDown
  /// after stopWaiting().
  task<slot_result> acquireSlot(slot_request Request, snapshot_ptr Snapshot);

  /// Returns after which time the caller of a request that targets rejected
  /// should come back, not before \p Earliest.
  std::chrono::milliseconds returnTime(const admitted_request &Admitted,
                                       duration Earliest, std::uint64_t Random);

  /// Replaces the quotas of this thread; other services have none.
  void setQuotas(std::span<const service_quota> Quotas);

  /// Refuses all waiting requests and each later one that would have to wait.
  void stopWaiting();

  /// Drops all waiting requests; called after the event loop has stopped.
  void close();

private:
  enum class wait_result { Pending, Served, Full, TooLate, Stopped };
  struct waiter {
    explicit waiter(const loop_executor &Executor) : Timer(Executor) {}

    boost::asio::steady_timer Timer;
    wait_result End = wait_result::Pending;
  };
  /// A gauge and this thread's part of its value.
  struct shared_gauge {
    gauge *Gauge = nullptr;
    std::int64_t Value = 0;

    void show(std::size_t Next);
  };
  struct queue {
    service_name Service;
    request_queue Waiting;
    std::map<queue_ticket, std::shared_ptr<waiter>> Waiters;
    completion_rate Completions;
    capacity_shortage Shortage;
    return_line Returns; ///< Callers that were rejected.
    std::size_t RunningRequests = 0;
    std::size_t Capacity = 0; ///< 0: not limited.
    /// Whether requests that cannot run in time are rejected on arrival.
    bool RejectsEarly = false;
    std::uint64_t LastTicket = 0;
    /// What the next two members were computed from.
    std::weak_ptr<const routing_snapshot> Snapshot;
    std::size_t ServingSlots = 0;  ///< Of targets that get requests.
    std::size_t UnpausedSlots = 0; ///< Of these, without paused targets.
    bool IsRegistered = false;     ///< Whether its targets register.
    std::size_t Quota = 0;         ///< 0: none.
    bool HasPriorities = false;
    shared_gauge WaitingGauge;
    shared_gauge SlotsGauge;
    shared_gauge UsedSlotsGauge;
  };

  queue &getOrCreate(const service_name &Service);
  /// Adapts capacity and order to the snapshot and to the pauses of targets.
  void update(queue &Queue, const service &Service,
              const snapshot_ptr &Snapshot);
  /// Sets how many requests may run at once.
  static void setCapacity(queue &Queue);
  /// Number of requests that the targets of a service may run at once.
  std::size_t slotsOf(const queue &Queue, const service &Service,
                      const routing_snapshot &Snapshot) const;
  /// Number of slots that cannot be used because their targets are cold.
  std::size_t slotsLostToCold(const queue &Queue,
                              std::span<const target> Targets) const;
  /// Lets the request wait until it is served or rejected.
  task<wait_result> wait(queue &Queue, slot_request Request);
  void wake(queue &Queue, queue_ticket Ticket, wait_result End);
  /// Lets the next waiting request run; there must be a free slot for it.
  /// \returns false if none waits.
  bool serveNext(queue &Queue);
  void release(queue &Queue, instant TakenAt);
  /// Lets waiting requests run while there are free slots.
  void serveWaiting(queue &Queue);
  /// Lets all waiting requests go on, as no target can take them.
  void wakeAll(queue &Queue);
  /// Returns a slot that is already counted as occupied.
  service_slot makeSlot(queue &Queue);
  /// Counts and logs a rejected request.
  refusal reject(queue &Queue, const slot_request &Request, wait_result Cause);
  /// Returns the mean time between two completions, given the slots in use.
  static std::optional<duration> timePerCompletion(const queue &Queue);
  /// Logs the end of a shortage of capacity.
  void logShortageEnd(queue &Queue);
  /// Updates the gauges of the service.
  void showValues(queue &Queue);

  const target_pauses &Pauses;
  metrics_registry &Metrics;
  service_loads &Loads;
  const cold_targets *ColdTargets = nullptr;
  bool IsClosed = false;
  bool HasStoppedWaiting = false;
  /// Entries are never erased, as slots refer to them.
  std::map<service_name, queue> Queues;
};

} // namespace peridot
