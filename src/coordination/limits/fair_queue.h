/// \file
/// Queue of requests that wait for a slot of one service, served by deficit
/// round robin over client accounts.
#pragma once

#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "state/base/types/identifiers.h"
#include "state/base/types/instant.h"

namespace peridot {

/// Identifies a waiting request.
using queue_ticket = strong_number<struct queue_ticket_tag>;

/// A request to be queued.
struct queue_request {
  queue_ticket Ticket;
  account_name Account;
  unsigned Weight = 1;
  instant Deadline;
};

/// The request was queued.
struct queue_entered {};
/// The request was queued; another request was removed for it and is refused.
struct queue_displaced {
  queue_ticket Refused;
};
/// The request is refused because its account has the most waiting requests
/// per weight.
struct queue_full {};

using queue_outcome = std::variant<queue_entered, queue_displaced, queue_full>;

struct fair_queue_options {
  std::size_t MaxWaiting = 256;
};

/// Does no I/O and reads no clock; callers pass the time.
class fair_queue {
public:
  explicit fair_queue(fair_queue_options Options) : Options(Options) {}

  /// Queues a request. If the queue is full, refuses the newest request of the
  /// account with the most waiting requests per weight.
  queue_outcome enqueue(const queue_request &Request);

  /// Removes and returns the next request to serve. In each round an account
  /// gets as many turns as its weight.
  std::optional<queue_ticket> dequeue();

  /// Removes a request without serving it, for example after its deadline.
  void remove(queue_ticket Ticket);
  /// Removes and returns all requests whose deadline has passed.
  std::vector<queue_ticket> expire(instant Now);

  /// Returns about how many waiting requests would be served before a new one
  /// of \p Account.
  std::size_t countAhead(const account_name &Account, unsigned Weight) const;

  std::size_t size() const { return Count; }

private:
  struct account_queue {
    account_name Account;
    unsigned Weight = 1;
    unsigned Deficit = 0; ///< Turns left in this round.
    std::deque<queue_request> Waiting;
  };
  using queue_list = std::list<account_queue>;

  account_queue &getOrCreateQueue(const queue_request &Request);
  queue_list::iterator heaviest();
  void dropIfEmpty(queue_list::iterator Queue);

  fair_queue_options Options;
  queue_list Queues; ///< Accounts with waiting requests, next turn first.
  std::unordered_map<account_name, queue_list::iterator> QueuesByAccount;
  std::size_t Count = 0;
};

} // namespace peridot
