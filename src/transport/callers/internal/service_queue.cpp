#include "transport/callers/internal/service_queue.h"

#include <boost/asio/this_coro.hpp>

namespace peridot {

namespace {

/// Part of a route's deadline that a request may spend waiting.
constexpr int WaitDivisor = 2;
/// Retry-After of a request that found no place in the queue.
constexpr std::chrono::milliseconds FullQueueDelay{1'000};

/// Requests that may run at the service's serving targets at once.
std::size_t slotsOf(const service &Service, const routing_snapshot &Snapshot) {
  std::size_t Slots = 0;
  for (const target &Target : Service.Targets)
    if (Snapshot.conditionOf(Target.Name) == target_condition::Serving)
      Slots += Target.Slots;
  return Slots;
}

queue_request requestOf(const admitted_request &Admitted, queue_ticket Ticket) {
  queue_request Request{.Ticket = Ticket};
  if (Admitted.Account) {
    Request.Account = Admitted.Account->Name;
    Request.Weight = Admitted.Account->Weight;
  }
  return Request;
}

refusal fullQueue(const service &Service) {
  return {.Kind = refusal_kind::QueueFull,
          .Detail = "the queue of service " + Service.Name.str() + " is full",
          .RetryAfter = FullQueueDelay};
}

refusal waitedTooLong(const service &Service) {
  return {.Kind = refusal_kind::QueueFull,
          .Detail = "no slot of service " + Service.Name.str() +
                    " became free in time",
          .RetryAfter = FullQueueDelay};
}

} // namespace

service_turn service_queues::begin(queue &Queue) {
  ++Queue.Running;
  return service_turn([this, &Queue] { release(Queue); });
}

void service_queues::wake(queue &Queue, queue_ticket Ticket, wait_end End) {
  const auto Found = Queue.Waiters.find(Ticket);
  if (Found == Queue.Waiters.end())
    return;
  Found->second->End = End;
  Found->second->Timer.cancel();
  Queue.Waiters.erase(Found);
}

void service_queues::close() {
  Closed = true;
  for (auto &[Service, Queue] : Queues)
    Queue.Waiters.clear();
}

void service_queues::release(queue &Queue) {
  if (Closed)
    return;
  --Queue.Running;
  while (Queue.Running < Queue.Capacity) {
    const auto Next = Queue.Waiting.next();
    if (!Next)
      return;
    // Counted from now on, so that no newcomer takes the slot.
    ++Queue.Running;
    wake(Queue, *Next, wait_end::Served);
  }
}

task<queue_entry> service_queues::enter(admitted_request Admitted,
                                        snapshot_ptr Snapshot) {
  queue &Queue = Queues[Admitted.Service->Name];
  Queue.Capacity = slotsOf(*Admitted.Service, *Snapshot);
  // Without any slot there is nothing to wait for: the relay says so.
  if (Queue.Capacity == 0 ||
      (Queue.Running < Queue.Capacity && Queue.Waiting.size() == 0))
    co_return begin(Queue);
  const loop_executor Executor = co_await boost::asio::this_coro::executor;
  const queue_ticket Ticket{++Queue.LastTicket};
  const auto Waiter = std::make_shared<waiter>(Executor);
  Queue.Waiters.emplace(Ticket, Waiter);
  queue_request Request = requestOf(Admitted, Ticket);
  Request.Deadline = instant::max(); // The timer below ends the wait.
  const queue_outcome Outcome = Queue.Waiting.enter(Request);
  const bool Refused = std::holds_alternative<queue_full>(Outcome);
  if (const auto *Displaced = std::get_if<queue_displaced>(&Outcome))
    wake(Queue, Displaced->Refused, wait_end::Refused);
  if (Refused) {
    Queue.Waiters.erase(Ticket);
    co_return fullQueue(*Admitted.Service);
  }
  Waiter->Timer.expires_after(Admitted.Route->Deadline / WaitDivisor);
  co_await Waiter->Timer.async_wait(UseTaskTuple);
  if (Waiter->End == wait_end::Served)
    co_return service_turn([this, &Queue] { release(Queue); });
  if (Waiter->End == wait_end::Refused)
    co_return fullQueue(*Admitted.Service);
  Queue.Waiting.remove(Ticket);
  Queue.Waiters.erase(Ticket);
  co_return waitedTooLong(*Admitted.Service);
}

} // namespace peridot
