#include "coordination/limits/fair_queue.h"

#include <algorithm>

namespace peridot {

fair_queue::account_queue &
fair_queue::getOrCreateQueue(const queue_request &Request) {
  const auto Known = QueuesByAccount.find(Request.Account);
  if (Known != QueuesByAccount.end())
    return *Known->second;
  const unsigned Weight = std::max(1U, Request.Weight);
  Queues.push_back({.Account = Request.Account,
                    .Weight = Weight,
                    .Deficit = Weight,
                    .Waiting = {}});
  QueuesByAccount.emplace(Request.Account, std::prev(Queues.end()));
  return Queues.back();
}

fair_queue::queue_list::iterator fair_queue::heaviest() {
  // Compares Left.size / Left.Weight with Right.size / Right.Weight.
  return std::ranges::max_element(
      Queues, [](const account_queue &Left, const account_queue &Right) {
        return Left.Waiting.size() * Right.Weight <
               Right.Waiting.size() * Left.Weight;
      });
}

void fair_queue::dropIfEmpty(queue_list::iterator Queue) {
  if (!Queue->Waiting.empty())
    return;
  QueuesByAccount.erase(Queue->Account);
  Queues.erase(Queue);
}

queue_outcome fair_queue::enqueue(const queue_request &Request) {
  getOrCreateQueue(Request).Waiting.push_back(Request);
  ++Count;
  if (Count <= Options.MaxWaiting)
    return queue_entered{};
  const auto Queue = heaviest();
  const queue_ticket Refused = Queue->Waiting.back().Ticket;
  Queue->Waiting.pop_back();
  --Count;
  dropIfEmpty(Queue);
  if (Refused == Request.Ticket)
    return queue_full{};
  return queue_displaced{Refused};
}

std::size_t fair_queue::countAhead(const account_name &Account,
                                   unsigned Weight) const {
  const auto Own = QueuesByAccount.find(Account);
  const std::size_t OwnCount =
      Own == QueuesByAccount.end() ? 0 : Own->second->Waiting.size();
  const std::size_t Rounds = OwnCount / std::max(1U, Weight) + 1;
  std::size_t Ahead = OwnCount;
  for (const account_queue &Each : Queues)
    if (Each.Account != Account)
      Ahead += std::min(Each.Waiting.size(), Rounds * Each.Weight);
  return Ahead;
}

std::optional<queue_ticket> fair_queue::dequeue() {
  if (Queues.empty())
    return std::nullopt;
  const auto Queue = Queues.begin();
  const queue_ticket Ticket = Queue->Waiting.front().Ticket;
  Queue->Waiting.pop_front();
  --Count;
  --Queue->Deficit;
  if (Queue->Deficit == 0) {
    Queue->Deficit = Queue->Weight;
    Queues.splice(Queues.end(), Queues, Queue);
  }
  dropIfEmpty(Queue);
  return Ticket;
}

void fair_queue::remove(queue_ticket Ticket) {
  for (auto Queue = Queues.begin(); Queue != Queues.end(); ++Queue) {
    const auto Removed =
        std::erase_if(Queue->Waiting, [Ticket](const queue_request &Each) {
          return Each.Ticket == Ticket;
        });
    if (Removed == 0)
      continue;
    Count -= Removed;
    dropIfEmpty(Queue);
    return;
  }
}

std::vector<queue_ticket> fair_queue::expire(instant Now) {
  std::vector<queue_ticket> Expired;
  for (auto Queue = Queues.begin(); Queue != Queues.end();) {
    const auto Current = Queue++;
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
