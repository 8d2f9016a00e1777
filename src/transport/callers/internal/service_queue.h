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

#include "coordination/limits/fair_queue.h"
#include "coordination/load_balancing/cold_targets.h"
#include "coordination/load_balancing/route_statistics.h"
#include "coordination/load_balancing/target_pauses.h"
#include "coordination/routing/admission.h"
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

/// Queues of all services; used on the traffic thread only.
class service_queues {
public:
  /// \p Pauses and \p Statistics must outlive the queues.
  service_queues(const target_pauses &Pauses,
                 const route_statistics &Statistics)
      : Pauses(Pauses), Statistics(Statistics) {}
  /// Counts cold targets with what they bear. \p Limit: null for none.
  void limitColdTargets(const cold_targets *Limit) { ColdTargets = Limit; }

  /// Waits until the service has a free slot for the request. Refuses it with
  /// QueueFull (not-run) if it does not fit in the queue, is displaced from
  /// the queue or waits too long, and with ShuttingDown after stopWaiting().
  task<slot_result> acquireSlot(admitted_request Admitted,
                                snapshot_ptr Snapshot);

  /// Refuses all waiting requests and each later one that would have to wait.
  void stopWaiting();

  /// Drops all waiting requests; called after the event loop has stopped.
  void close();

private:
  enum class wait_result { Pending, Served, Refused, Stopped };
  struct waiter {
    explicit waiter(const loop_executor &Executor) : Timer(Executor) {}

    boost::asio::steady_timer Timer;
    wait_result End = wait_result::Pending;
  };
  struct queue {
    fair_queue Waiting{fair_queue_options{}};
    std::map<queue_ticket, std::shared_ptr<waiter>> Waiters;
    std::size_t RunningRequests = 0;
    std::size_t Capacity = 0;
    std::uint64_t LastTicket = 0;
  };

  void wake(queue &Queue, queue_ticket Ticket, wait_result End);
  void release(queue &Queue);
  /// Number of requests that the targets of a service may run at once.
  std::size_t slotsOf(const admitted_request &Admitted,
                      const routing_snapshot &Snapshot) const;
  /// Lets all waiting requests go on, as no target can take them.
  void wakeAll(queue &Queue);
  service_slot takeSlot(queue &Queue);

  const target_pauses &Pauses;
  const route_statistics &Statistics;
  const cold_targets *ColdTargets = nullptr;
  bool IsClosed = false;
  bool HasStoppedWaiting = false;
  /// Entries are never erased, as slots refer to them.
  std::map<service_name, queue> Queues;
};

} // namespace peridot
