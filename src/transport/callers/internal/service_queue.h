/// \file
/// Where requests wait for a slot of their service, on one traffic thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <variant>

#include <boost/asio/steady_timer.hpp>

#include "coordination/limits/fair_queue.h"
#include "coordination/routing/admission.h"
#include "transport/runtime/asio_types.h"

namespace peridot {

/// Counts a request among those that run until it is destroyed, and then lets
/// the next one in.
class service_turn {
public:
  explicit service_turn(std::function<void()> Release)
      : Release(std::move(Release)) {}
  service_turn(service_turn &&Other) noexcept
      : Release(std::exchange(Other.Release, nullptr)) {}
  service_turn &operator=(service_turn &&) = delete;
  ~service_turn() {
    if (Release)
      Release();
  }

private:
  std::function<void()> Release;
};

/// The request may run, or is refused.
using queue_entry = std::variant<service_turn, refusal>;

/// Queues of all services; used on the thread of its event loop only.
class service_queues {
public:
  /// Lets the request in at once when its service has a free slot, else when
  /// its turn comes. Refused with QueueFull (not-run) when it had to make room
  /// or its time to wait passed.
  task<queue_entry> enter(admitted_request Admitted, snapshot_ptr Snapshot);

  /// Forgets all waiters; called after the event loop has stopped.
  void close();

private:
  enum class wait_end { Pending, Served, Refused };
  struct waiter {
    explicit waiter(const loop_executor &Executor) : Timer(Executor) {}

    boost::asio::steady_timer Timer;
    wait_end End = wait_end::Pending;
  };
  struct queue {
    fair_queue Waiting{fair_queue_options{}};
    std::map<queue_ticket, std::shared_ptr<waiter>> Waiters;
    std::size_t Running = 0;
    std::size_t Capacity = 0;
    std::uint64_t LastTicket = 0;
  };

  void wake(queue &Queue, queue_ticket Ticket, wait_end End);
  void release(queue &Queue);
  service_turn begin(queue &Queue);

  bool Closed = false;
  std::map<service_name, queue> Queues; ///< Entries stay for good.
};

} // namespace peridot
