/// \file
/// Queue of the requests that wait for a slot of one service: deficit round
/// robin over client accounts.
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

/// Names one waiting request.
using queue_ticket = strong_number<struct queue_ticket_tag>;

/// A request that asks to wait.
struct queue_request {
  queue_ticket Ticket;
  account_name Account;
  unsigned Weight = 1;
  instant Deadline;
};

/// The request waits.
struct queue_entered {};
/// The request waits; another one had to make room and is refused.
struct queue_displaced {
  queue_ticket Refused;
};
/// The request is refused: its own account is the heaviest.
struct queue_full {};

using queue_outcome = std::variant<queue_entered, queue_displaced, queue_full>;

struct fair_queue_options {
  std::size_t MaxWaiting = 256;
};

/// A pure machine; every call is told the time.
class fair_queue {
public:
  explicit fair_queue(fair_queue_options Options) : Options(Options) {}

  /// Adds a request. When the queue is full, the newest request of the account
  /// with the most waiting requests per weight is refused.
  queue_outcome enter(const queue_request &Request);

  /// Takes the request whose turn it is. In each round an account gets as many
  /// turns as its weight.
  std::optional<queue_ticket> next();

  /// Takes a request out of turn, for example after its deadline.
  void remove(queue_ticket Ticket);
  /// Takes out all requests whose deadline has passed.
  std::vector<queue_ticket> expire(instant Now);

  std::size_t size() const { return Count; }

private:
  struct account_line {
    account_name Account;
    unsigned Weight = 1;
    unsigned Deficit = 0; ///< Turns left in this round.
    std::deque<queue_request> Waiting;
  };
  using line_list = std::list<account_line>;

  account_line &lineOf(const queue_request &Request);
  line_list::iterator heaviest();
  void dropIfEmpty(line_list::iterator Line);

  fair_queue_options Options;
  line_list Lines; ///< Accounts with waiting requests, next turn first.
  std::unordered_map<account_name, line_list::iterator> LinesByAccount;
  std::size_t Count = 0;
};

} // namespace peridot
