#include "transport/callers/internal/service_queue.h"

#include <algorithm>

#include <boost/asio/this_coro.hpp>

#include "state/metrics/series_label.h"
#include "transport/logging/event_log.h"
#include "transport/runtime/timer_service.h"

namespace peridot {

namespace {

/// A request may wait for a slot for its route's deadline divided by this, if
/// it is not known how long it takes to run.
constexpr int WaitDivisor = 2;
/// Retry-After of a request that got no slot while it is not known how long
/// requests take.
constexpr std::chrono::milliseconds QueueFullRetryAfter{1'000};

waiting_request waitingRequestOf(const slot_request &Request,
                                 queue_ticket Ticket, bool RejectsEarly) {
  const admitted_request &Admitted = Request.Admitted;
  const request_times &Times = Request.Times;
  waiting_request Waiting{
      .Ticket = Ticket,
      .Source = {.Route = routeIdOf(*Admitted.Route)},
      .Urgency = urgencyOf(Admitted.Account, *Admitted.Route, Times),
      .LatestStart = Times.ArrivedAt + Admitted.Route->Deadline / WaitDivisor};
  if (RejectsEarly)
    Waiting.LatestStart =
        Times.ArrivedAt + Times.TimeLeft - Times.TypicalLatency;
  if (Admitted.Account) {
    Waiting.Source.Account = Admitted.Account->Name;
    Waiting.Weight = Admitted.Account->Weight;
  }
  return Waiting;
}

bool isSame(const std::weak_ptr<const routing_snapshot> &Left,
            const snapshot_ptr &Right) {
  return !Left.owner_before(Right) && !Right.owner_before(Left);
}

std::size_t countServingSlots(const service &Service,
                              const routing_snapshot &Snapshot) {
  std::size_t Slots = 0;
  for (const target &Target : Snapshot.targetsOf(Service))
    if (Snapshot.conditionOf(Target.Name) == target_condition::Serving)
      Slots += Target.Slots;
  return Slots;
}

} // namespace

void service_queues::shared_gauge::show(std::size_t Next) {
  const auto Shown = static_cast<std::int64_t>(Next);
  Gauge->add(Shown - std::exchange(Value, Shown));
}

service_queues::queue &
service_queues::getOrCreate(const service_name &Service) {
  const auto [Entry, IsNew] = Queues.try_emplace(Service);
  queue &Queue = Entry->second;
  if (!IsNew)
    return Queue;
  Queue.Service = Service;
  const auto Labels = seriesLabel("service", Service.view());
  Queue.WaitingGauge.Gauge =
      &Metrics.getOrCreateGauge("peridot_requests_waiting", Labels);
  Queue.SlotsGauge.Gauge =
      &Metrics.getOrCreateGauge("peridot_service_slots", Labels);
  Queue.UsedSlotsGauge.Gauge =
      &Metrics.getOrCreateGauge("peridot_service_slots_used", Labels);
  return Queue;
}

std::size_t service_queues::slotsOf(const queue &Queue, const service &Service,
                                    const routing_snapshot &Snapshot) const {
  const auto Targets = Snapshot.targetsOf(Service);
  std::size_t Slots = Queue.ServingSlots;
  // Costs nothing while no target is paused.
  for (const target_name &Paused : Pauses.pausedAmong(Targets, bootNow())) {
    const auto Target = std::ranges::find(Targets, Paused, &target::Name);
    if (Snapshot.conditionOf(Paused) == target_condition::Serving)
      Slots -= Target->Slots;
  }
  return Slots - std::min(Slots, slotsLostToCold(Queue, Targets));
}

std::size_t
service_queues::slotsLostToCold(const queue &Queue,
                                std::span<const target> Targets) const {
  if (!ColdTargets || !ColdTargets->mayBeCold())
    return 0;
  const instant Now = bootNow();
  const duration Latency =
      Queue.Completions.timePerCompletion(1).value_or(duration{0});
  double Lost = 0;
  for (const target &Each : Targets)
    Lost += Each.Slots - ColdTargets->usableSlots(Each, Latency, Now);
  return static_cast<std::size_t>(std::max(Lost, 0.0));
}

void service_queues::update(queue &Queue, const service &Service,
                            const snapshot_ptr &Snapshot) {
  const instant Now = bootNow();
  if (!isSame(Queue.Snapshot, Snapshot)) {
    Queue.Snapshot = Snapshot;
    Queue.ServingSlots = countServingSlots(Service, *Snapshot);
    Queue.HasPriorities =
        hasPriorities(Snapshot->Configuration->configuration(), Service);
    Queue.Waiting.setOrder(Queue.HasPriorities ? queue_order::ByUrgency
                                               : queue_order::FairByAccount,
                           Now);
  }
  Queue.IsRegistered = Snapshot->RegisteredTargets != nullptr;
  Queue.UnpausedSlots = slotsOf(Queue, Service, *Snapshot);
  setCapacity(Queue);
  logShortageEnd(Queue);
}

void service_queues::setCapacity(queue &Queue) {
  // Registered targets queue some requests themselves. Without a quota, waiting
  // here is only better for requests that differ in urgency.
  const bool IsLimited =
      !Queue.IsRegistered || Queue.HasPriorities || Queue.Quota > 0;
  Queue.RejectsEarly = Queue.IsRegistered && IsLimited;
  Queue.Capacity = IsLimited ? Queue.UnpausedSlots : 0;
  if (Queue.Quota == 0 || Queue.Capacity == 0)
    return;
  // The quota counts the slots of paused targets.
  const std::size_t Quota =
      Queue.Quota * Queue.UnpausedSlots / Queue.ServingSlots;
  Queue.Capacity = std::min(Queue.Capacity, std::max<std::size_t>(Quota, 1));
}

void service_queues::setQuotas(std::span<const service_quota> Quotas) {
  for (auto &[Service, Queue] : Queues)
    Queue.Quota = 0;
  for (const service_quota &Each : Quotas)
    getOrCreate(Each.Service).Quota = Each.Slots;
  for (auto &[Service, Queue] : Queues) {
    setCapacity(Queue);
    if (Queue.Capacity == 0)
      wakeAll(Queue);
    serveWaiting(Queue);
    logShortageEnd(Queue);
    showValues(Queue);
  }
}

service_slot service_queues::makeSlot(queue &Queue) {
  return service_slot(
      [this, &Queue, TakenAt = bootNow()] { release(Queue, TakenAt); });
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
    while (const auto Next = Queue.Waiting.dequeue(bootNow()))
      wake(Queue, *Next, wait_result::Stopped);
}

void service_queues::close() {
  IsClosed = true;
  for (auto &[Service, Queue] : Queues)
    Queue.Waiters.clear();
}

bool service_queues::serveNext(queue &Queue) {
  const instant Now = bootNow();
  for (const queue_ticket Expired : Queue.Waiting.expire(Now))
    wake(Queue, Expired, wait_result::TooLate);
  const auto Next = Queue.Waiting.dequeue(Now);
  if (!Next)
    return false;
  // Occupies the slot before the waiter resumes, so that no new request can
  // take it.
  ++Queue.RunningRequests;
  wake(Queue, *Next, wait_result::Served);
  return true;
}

void service_queues::release(queue &Queue, instant TakenAt) {
  if (IsClosed)
    return;
  --Queue.RunningRequests;
  Queue.Completions.record(bootNow() - TakenAt);
  serveWaiting(Queue);
  showValues(Queue);
}

void service_queues::serveWaiting(queue &Queue) {
  while (Queue.RunningRequests < Queue.Capacity && serveNext(Queue)) {
  }
}

void service_queues::wakeAll(queue &Queue) {
  while (serveNext(Queue)) {
  }
}

std::optional<duration> service_queues::timePerCompletion(const queue &Queue) {
  const std::size_t UsedSlots =
      Queue.Capacity > 0 ? Queue.Capacity
                         : std::max<std::size_t>(Queue.RunningRequests, 1);
  return Queue.Completions.timePerCompletion(UsedSlots);
}

std::chrono::milliseconds
service_queues::returnTime(const admitted_request &Admitted, duration Earliest,
                           std::uint64_t Random) {
  queue &Queue = getOrCreate(Admitted.Service->Name);
  const auto TimePerCompletion = timePerCompletion(Queue);
  if (!TimePerCompletion || *TimePerCompletion <= duration{0})
    return std::chrono::ceil<std::chrono::milliseconds>(Earliest);
  const std::chrono::duration<double> Seconds = *TimePerCompletion;
  return std::chrono::ceil<std::chrono::milliseconds>(Queue.Returns.join(
      {.Class = urgencyClassOf(Admitted.Account, *Admitted.Route),
       .PerSecond = 1 / Seconds.count(),
       .Earliest = Earliest},
      bootNow(), Random));
}

refusal service_queues::reject(queue &Queue, const slot_request &Request,
                               wait_result Cause) {
  const std::string &Service = Queue.Service.str();
  if (Cause == wait_result::Stopped)
    return {.Kind = refusal_kind::ShuttingDown,
            .Detail = "this VM stops before a slot of service " + Service +
                      " became free"};
  const bool IsFull = Cause == wait_result::Full;
  const auto CauseName =
      nameOf(IsFull ? queue_rejection::Full : queue_rejection::TooLate);
  Metrics
      .getOrCreateCounter("peridot_queue_rejections_total",
                          seriesLabel("service", Service) + "," +
                              seriesLabel("cause", CauseName))
      .add();
  if (Queue.Shortage.recordRejection(bootNow()))
    logEvent(log_level::Warning, "capacity-short",
             {{"service", std::string_view(Service)},
              {"cause", CauseName},
              {"slots", static_cast<std::int64_t>(Queue.Capacity)},
              {"waiting", static_cast<std::int64_t>(Queue.Waiting.size())}});
  const auto TimePerCompletion = timePerCompletion(Queue);
  const auto Backlog = static_cast<duration::rep>(Queue.Waiting.size());
  return {.Kind = refusal_kind::QueueFull,
          .Detail = IsFull
                        ? "the queue of service " + Service + " is full"
                        : "no slot of service " + Service + " is free in time",
          .RetryAfter =
              Queue.RejectsEarly && TimePerCompletion
                  ? returnTime(Request.Admitted, Backlog * *TimePerCompletion,
                               Request.Random)
                  : QueueFullRetryAfter};
}

void service_queues::logShortageEnd(queue &Queue) {
  const auto Ended = Queue.Shortage.takeEnded(bootNow());
  if (!Ended)
    return;
  const auto Length =
      std::chrono::duration_cast<std::chrono::milliseconds>(Ended->Length);
  logEvent(log_level::Info, "capacity-sufficient",
           {{"service", Queue.Service.view()},
            {"short_for_ms", std::int64_t{Length.count()}},
            {"rejected", std::int64_t{Ended->RejectedRequests}}});
}

void service_queues::showValues(queue &Queue) {
  Queue.WaitingGauge.show(Queue.Waiting.size());
  Queue.SlotsGauge.show(Queue.Capacity > 0 ? Queue.Capacity
                                           : Queue.ServingSlots);
  Queue.UsedSlotsGauge.show(Queue.RunningRequests);
  Loads.set(Queue.Service, Queue.RunningRequests + Queue.Waiting.size(),
            bootNow());
}

task<service_queues::wait_result> service_queues::wait(queue &Queue,
                                                       slot_request Request) {
  const loop_executor Executor = co_await boost::asio::this_coro::executor;
  const queue_ticket Ticket{++Queue.LastTicket};
  const auto Waiter = std::make_shared<waiter>(Executor);
  Queue.Waiters.emplace(Ticket, Waiter);
  const waiting_request Waiting =
      waitingRequestOf(Request, Ticket, Queue.RejectsEarly);
  const instant Now = bootNow();
  const auto TimePerCompletion =
      Queue.RejectsEarly ? Queue.Completions.timePerCompletion(Queue.Capacity)
                         : std::nullopt;
  for (const rejected_request &Each :
       Queue.Waiting.enqueue(Waiting, TimePerCompletion, Now))
    wake(Queue, Each.Ticket,
         Each.Cause == queue_rejection::Full ? wait_result::Full
                                             : wait_result::TooLate);
  showValues(Queue);
  if (Waiter->End == wait_result::Pending) {
    Waiter->Timer.expires_after(Waiting.LatestStart - Now);
    co_await Waiter->Timer.async_wait(UseTaskTuple);
  }
  if (Waiter->End == wait_result::Pending) {
    Queue.Waiting.remove(Ticket);
    Queue.Waiters.erase(Ticket);
    Waiter->End = wait_result::TooLate;
  }
  showValues(Queue);
  co_return Waiter->End;
}

task<slot_result> service_queues::acquireSlot(slot_request Request,
                                              snapshot_ptr Snapshot) {
  const service &Service = *Request.Admitted.Service;
  queue &Queue = getOrCreate(Service.Name);
  update(Queue, Service, Snapshot);
  // Without any slot, waiting is pointless: the relay refuses the requests.
  if (Queue.Capacity == 0)
    wakeAll(Queue);
  serveWaiting(Queue);
  if (Queue.Capacity == 0 ||
      (Queue.RunningRequests < Queue.Capacity && Queue.Waiting.size() == 0)) {
    ++Queue.RunningRequests;
    showValues(Queue);
    co_return makeSlot(Queue);
  }
  if (HasStoppedWaiting)
    co_return reject(Queue, Request, wait_result::Stopped);
  const wait_result End = co_await wait(Queue, Request);
  if (End == wait_result::Served)
    co_return makeSlot(Queue);
  co_return reject(Queue, Request, End);
}

} // namespace peridot
