#include "coordination/capacity/urgency_queue.h"

#include <algorithm>

namespace peridot {

namespace {

/// Returns when the request behind \p Ahead others is served.
instant startBehind(std::size_t Ahead, duration TimePerCompletion,
                    instant Now) {
  return Now + static_cast<duration::rep>(Ahead + 1) * TimePerCompletion;
}

} // namespace

std::string_view nameOf(queue_rejection Cause) {
  switch (Cause) {
  case queue_rejection::Full:
    return "full";
  case queue_rejection::TooLate:
    return "too-late";
  }
  return "unknown";
}

double urgency_queue::turnOf(const waiting_request &Request) const {
  const auto Next =
      NextTurns.find({Request.Urgency.Class, Request.Source.Account});
  const auto Current = CurrentTurns.find(Request.Urgency.Class);
  return std::max(Next == NextTurns.end() ? 0 : Next->second,
                  Current == CurrentTurns.end() ? 0 : Current->second);
}

urgency_queue::rank urgency_queue::rankOf(const waiting_request &Request,
                                          instant Now) const {
  return {.IsNotOwed = !Fractions.isOwed(Request.Source, Now),
          .Class = Request.Urgency.Class,
          .IsLate = Request.Urgency.LatestTimelyStart < Now,
          .Turn = turnOf(Request),
          .WaitingSince = Request.Urgency.WaitingSince,
          .Ticket = Request.Ticket};
}

std::size_t urgency_queue::countAhead(const waiting_request &Request,
                                      instant Now) const {
  const rank Rank = rankOf(Request, Now);
  return static_cast<std::size_t>(
      std::ranges::count_if(Waiting, [&](const waiting_request &Each) {
        return rankOf(Each, Now) < Rank;
      }));
}

std::size_t urgency_queue::indexOfLast(instant Now) const {
  const auto Last =
      std::ranges::max_element(Waiting, {}, [&](const waiting_request &Each) {
        return rankOf(Each, Now);
      });
  return static_cast<std::size_t>(Last - Waiting.begin());
}

void urgency_queue::erase(std::size_t Index) {
  Waiting.erase(Waiting.begin() + static_cast<std::ptrdiff_t>(Index));
  if (!Waiting.empty())
    return;
  CurrentTurns.clear();
  NextTurns.clear();
}

queue_ticket urgency_queue::removeLast(instant Now) {
  const std::size_t Index = indexOfLast(Now);
  const queue_ticket Ticket = Waiting[Index].Ticket;
  erase(Index);
  return Ticket;
}

bool urgency_queue::isLastTooLate(duration TimePerCompletion,
                                  instant Now) const {
  if (Waiting.empty())
    return false;
  return Waiting[indexOfLast(Now)].LatestStart <
         startBehind(Waiting.size() - 1, TimePerCompletion, Now);
}

std::vector<rejected_request>
urgency_queue::enqueue(const waiting_request &Request,
                       std::optional<duration> TimePerCompletion, instant Now) {
  Fractions.recordArrival(Request.Source, Now);
  const auto IsTooLate = [&] {
    return Request.LatestStart <
           startBehind(countAhead(Request, Now), *TimePerCompletion, Now);
  };
  if (TimePerCompletion && IsTooLate())
    return {{.Ticket = Request.Ticket, .Cause = queue_rejection::TooLate}};
  Waiting.push_back(Request);
  std::vector<rejected_request> Rejected;
  if (Waiting.size() > MaxWaiting)
    Rejected.push_back(
        {.Ticket = removeLast(Now), .Cause = queue_rejection::Full});
  while (TimePerCompletion && isLastTooLate(*TimePerCompletion, Now))
    Rejected.push_back(
        {.Ticket = removeLast(Now), .Cause = queue_rejection::TooLate});
  return Rejected;
}

std::optional<queue_ticket> urgency_queue::dequeue(instant Now) {
  if (Waiting.empty())
    return std::nullopt;
  const auto First =
      std::ranges::min_element(Waiting, {}, [&](const waiting_request &Each) {
        return rankOf(Each, Now);
      });
  const waiting_request Request = *First;
  const double Turn = turnOf(Request);
  CurrentTurns[Request.Urgency.Class] = Turn;
  NextTurns[{Request.Urgency.Class, Request.Source.Account}] =
      Turn + 1.0 / std::max(1U, Request.Weight);
  Fractions.recordServed(Request.Source, Now);
  erase(static_cast<std::size_t>(First - Waiting.begin()));
  return Request.Ticket;
}

void urgency_queue::remove(queue_ticket Ticket) {
  const auto Found =
      std::ranges::find(Waiting, Ticket, &waiting_request::Ticket);
  if (Found != Waiting.end())
    erase(static_cast<std::size_t>(Found - Waiting.begin()));
}

std::vector<queue_ticket> urgency_queue::expire(instant Now) {
  std::vector<queue_ticket> Expired;
  for (const waiting_request &Each : Waiting)
    if (Each.LatestStart < Now)
      Expired.push_back(Each.Ticket);
  for (const queue_ticket Ticket : Expired)
    remove(Ticket);
  return Expired;
}

} // namespace peridot
