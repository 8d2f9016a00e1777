#include "transport/callers/internal/service_queue.h"

#include <boost/asio/this_coro.hpp>

#include "transport/runtime/timer_service.h"

namespace peridot {

namespace {

/// A request may wait for a slot for its route's deadline divided by this.
constexpr int WaitDivisor = 2;
/// Retry-After of a request that got no slot.
constexpr std::chrono::milliseconds QueueFullRetryAfter{1'000};

queue_request requestOf(const admitted_request &Admitted, queue_ticket Ticket) {
  queue_request Request{.Ticket = Ticket};
  if (Admitted.Account) {
    Request.Account = Admitted.Account->Name;
    Request.Weight = Admitted.Account->Weight;
  }
  return Request;
}

refusal queueFull(const service &Service) {
  return {.Kind = refusal_kind::QueueFull,
          .Detail = "the queue of service " + Service.Name.str() + " is full",
          .RetryAfter = QueueFullRetryAfter};
}

refusal slotWaitTimedOut(const service &Service) {
  return {.Kind = refusal_kind::QueueFull,
          .Detail = "no slot of service " + Service.Name.str() +
                    " became free in time",
          .RetryAfter = QueueFullRetryAfter};
}

refusal waitStopped(const service &Service) {
  return {.Kind = refusal_kind::ShuttingDown,
          .Detail = "this VM stops before a slot of service " +
                    Service.Name.str() + " became free"};
}

} // namespace

std::size_t service_queues::slotsOf(const admitted_request &Admitted,
                                    const routing_snapshot &Snapshot) const {
  const instant Now = bootNow();
  const duration Latency =
      ColdTargets ? Statistics.typicalLatency(*Admitted.Route) : duration{0};
  double Slots = 0;
  for (const target &Target : Admitted.Service->Targets)
    if (Snapshot.conditionOf(Target.Name) == target_condition::Serving &&
        !Pauses.isPaused(Target, Now))
      Slots += ColdTargets ? ColdTargets->usableSlots(Target, Latency, Now)
                           : Target.Slots;
  return static_cast<std::size_t>(Slots);
}

service_slot service_queues::takeSlot(queue &Queue) {
  ++Queue.RunningRequests;
  return service_slot([this, &Queue] { release(Queue); });
}

void service_queues::wake(queue &Queue, queue_ticket Ticket, wait_result End) {
  const auto Found = Queue.Waiters.find(Ticket);
  if (Found == Queue.Waiters.end())
    return;
  Found->second->End = End;
  Found->second->Timer.cancel();
  Queue.Waiters.erase(Found);
}

void service_queues::stopWaiting() {
  HasStoppedWaiting = true;
  for (auto &[Service, Queue] : Queues)
    while (const auto Next = Queue.Waiting.dequeue())
      wake(Queue, *Next, wait_result::Stopped);
}

void service_queues::close() {
  IsClosed = true;
  for (auto &[Service, Queue] : Queues)
    Queue.Waiters.clear();
}

void service_queues::release(queue &Queue) {
  if (IsClosed)
    return;
  --Queue.RunningRequests;
  while (Queue.RunningRequests < Queue.Capacity) {
    const auto Next = Queue.Waiting.dequeue();
    if (!Next)
      return;
    // Occupies the slot before the waiter resumes, so that no new request can
    // take it.
    ++Queue.RunningRequests;
    wake(Queue, *Next, wait_result::Served);
  }
}

void service_queues::wakeAll(queue &Queue) {
  while (const auto Next = Queue.Waiting.dequeue()) {
    ++Queue.RunningRequests;
    wake(Queue, *Next, wait_result::Served);
  }
}

task<slot_result> service_queues::acquireSlot(admitted_request Admitted,
                                              snapshot_ptr Snapshot) {
  queue &Queue = Queues[Admitted.Service->Name];
  Queue.Capacity = slotsOf(Admitted, *Snapshot);
  // Without any slot, waiting is pointless: the relay refuses the requests.
  if (Queue.Capacity == 0)
    wakeAll(Queue);
  if (Queue.Capacity == 0 ||
      (Queue.RunningRequests < Queue.Capacity && Queue.Waiting.size() == 0))
    co_return takeSlot(Queue);
  if (HasStoppedWaiting)
    co_return waitStopped(*Admitted.Service);
  const loop_executor Executor = co_await boost::asio::this_coro::executor;
  const queue_ticket Ticket{++Queue.LastTicket};
  const auto Waiter = std::make_shared<waiter>(Executor);
  Queue.Waiters.emplace(Ticket, Waiter);
  queue_request Request = requestOf(Admitted, Ticket);
  Request.Deadline = instant::max(); // The timer below limits the wait.
  const queue_outcome Outcome = Queue.Waiting.enqueue(Request);
  const bool Refused = std::holds_alternative<queue_full>(Outcome);
  if (const auto *Displaced = std::get_if<queue_displaced>(&Outcome))
    wake(Queue, Displaced->Refused, wait_result::Refused);
  if (Refused) {
    Queue.Waiters.erase(Ticket);
    co_return queueFull(*Admitted.Service);
  }
  Waiter->Timer.expires_after(Admitted.Route->Deadline / WaitDivisor);
  co_await Waiter->Timer.async_wait(UseTaskTuple);
  if (Waiter->End == wait_result::Served)
    co_return service_slot([this, &Queue] { release(Queue); });
  if (Waiter->End == wait_result::Refused)
    co_return queueFull(*Admitted.Service);
  if (Waiter->End == wait_result::Stopped)
    co_return waitStopped(*Admitted.Service);
  Queue.Waiting.remove(Ticket);
  Queue.Waiters.erase(Ticket);
  co_return slotWaitTimedOut(*Admitted.Service);
}

} // namespace peridot
