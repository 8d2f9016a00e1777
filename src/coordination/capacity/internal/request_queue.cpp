#include "coordination/capacity/request_queue.h"

#include "state/base/types/overloaded.h"

namespace peridot {

namespace {

queue_request fairRequestOf(const waiting_request &Request) {
  return {.Ticket = Request.Ticket,
          .Account = Request.Source.Account,
          .Weight = Request.Weight,
          .Deadline = Request.LatestStart};
}

std::vector<rejected_request>
enqueueFairly(fair_queue &Queue, const waiting_request &Request,
              std::optional<duration> TimePerCompletion, instant Now) {
  const auto Ahead = static_cast<duration::rep>(
      Queue.countAhead(Request.Source.Account, Request.Weight));
  if (TimePerCompletion &&
      Request.LatestStart < Now + (Ahead + 1) * *TimePerCompletion)
    return {{.Ticket = Request.Ticket, .Cause = queue_rejection::TooLate}};
  const queue_outcome Outcome = Queue.enqueue(fairRequestOf(Request));
  if (std::holds_alternative<queue_full>(Outcome))
    return {{.Ticket = Request.Ticket, .Cause = queue_rejection::Full}};
  if (const auto *Displaced = std::get_if<queue_displaced>(&Outcome))
    return {{.Ticket = Displaced->Refused, .Cause = queue_rejection::Full}};
  return {};
}

} // namespace

queue_order request_queue::order() const {
  return std::holds_alternative<urgency_queue>(Queue)
             ? queue_order::ByUrgency
             : queue_order::FairByAccount;
}

void request_queue::setOrder(queue_order Order, instant Now) {
  if (Order == order())
    return;
  if (Order == queue_order::ByUrgency)
    Queue.emplace<urgency_queue>(MaxWaiting);
  else
    Queue.emplace<fair_queue>(fair_queue_options{.MaxWaiting = MaxWaiting});
  for (const auto &[Ticket, Request] : std::exchange(Requests, {}))
    enqueue(Request, std::nullopt, Now);
}

std::vector<rejected_request>
request_queue::enqueue(const waiting_request &Request,
                       std::optional<duration> TimePerCompletion, instant Now) {
  Requests.emplace(Request.Ticket, Request);
  auto Rejected = std::visit(
      overloaded{[&](fair_queue &Fair) {
                   return enqueueFairly(Fair, Request, TimePerCompletion, Now);
                 },
                 [&](urgency_queue &Urgent) {
                   return Urgent.enqueue(Request, TimePerCompletion, Now);
                 }},
      Queue);
  for (const rejected_request &Each : Rejected)
    Requests.erase(Each.Ticket);
  return Rejected;
}

std::optional<queue_ticket> request_queue::dequeue(instant Now) {
  const auto Ticket = std::visit(
      overloaded{[](fair_queue &Fair) { return Fair.dequeue(); },
                 [Now](urgency_queue &Urgent) { return Urgent.dequeue(Now); }},
      Queue);
  if (Ticket)
    Requests.erase(*Ticket);
  return Ticket;
}

void request_queue::remove(queue_ticket Ticket) {
  std::visit([Ticket](auto &Each) { Each.remove(Ticket); }, Queue);
  Requests.erase(Ticket);
}

std::vector<queue_ticket> request_queue::expire(instant Now) {
  const auto Expired =
      std::visit([Now](auto &Each) { return Each.expire(Now); }, Queue);
  for (const queue_ticket Ticket : Expired)
    Requests.erase(Ticket);
  return Expired;
}

} // namespace peridot
