#include "coordination/limits/fair_queue.h"

#include <algorithm>

namespace peridot {

fair_queue::account_line &fair_queue::lineOf(const queue_request &Request) {
  const auto Known = LinesByAccount.find(Request.Account);
  if (Known != LinesByAccount.end())
    return *Known->second;
  const unsigned Weight = std::max(1U, Request.Weight);
  Lines.push_back({.Account = Request.Account,
                   .Weight = Weight,
                   .Deficit = Weight,
                   .Waiting = {}});
  LinesByAccount.emplace(Request.Account, std::prev(Lines.end()));
  return Lines.back();
}

fair_queue::line_list::iterator fair_queue::heaviest() {
  // Compares Left.size / Left.Weight with Right.size / Right.Weight.
  return std::ranges::max_element(
      Lines, [](const account_line &Left, const account_line &Right) {
        return Left.Waiting.size() * Right.Weight <
               Right.Waiting.size() * Left.Weight;
      });
}

void fair_queue::dropIfEmpty(line_list::iterator Line) {
  if (!Line->Waiting.empty())
    return;
  LinesByAccount.erase(Line->Account);
  Lines.erase(Line);
}

queue_outcome fair_queue::enter(const queue_request &Request) {
  lineOf(Request).Waiting.push_back(Request);
  ++Count;
  if (Count <= Options.MaxWaiting)
    return queue_entered{};
  const auto Line = heaviest();
  const queue_ticket Refused = Line->Waiting.back().Ticket;
  Line->Waiting.pop_back();
  --Count;
  dropIfEmpty(Line);
  if (Refused == Request.Ticket)
    return queue_full{};
  return queue_displaced{Refused};
}

std::optional<queue_ticket> fair_queue::next() {
  if (Lines.empty())
    return std::nullopt;
  const auto Line = Lines.begin();
  const queue_ticket Ticket = Line->Waiting.front().Ticket;
  Line->Waiting.pop_front();
  --Count;
  --Line->Deficit;
  if (Line->Deficit == 0) {
    Line->Deficit = Line->Weight;
    Lines.splice(Lines.end(), Lines, Line);
  }
  dropIfEmpty(Line);
  return Ticket;
}

void fair_queue::remove(queue_ticket Ticket) {
  for (auto Line = Lines.begin(); Line != Lines.end(); ++Line) {
    const auto Removed =
        std::erase_if(Line->Waiting, [Ticket](const queue_request &Each) {
          return Each.Ticket == Ticket;
        });
    if (Removed == 0)
      continue;
    Count -= Removed;
    dropIfEmpty(Line);
    return;
  }
}

std::vector<queue_ticket> fair_queue::expire(instant Now) {
  std::vector<queue_ticket> Expired;
  for (auto Line = Lines.begin(); Line != Lines.end();) {
    const auto Current = Line++;
    Count -= std::erase_if(Current->Waiting, [&](const queue_request &Each) {
      if (Now < Each.Deadline)
        return false;
      Expired.push_back(Each.Ticket);
      return true;
    });
    dropIfEmpty(Current);
  }
  return Expired;
}

} // namespace peridot
