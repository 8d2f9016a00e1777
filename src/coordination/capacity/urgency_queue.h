/// \file
/// Queue of requests that wait for a slot of one service, served by urgency.
///
/// Requests of the same class are served within their target latency first.
/// Accounts of the same rank take turns by weight; of one account the oldest
/// request is next. Accounts and routes that are owed a request (see
/// served_fractions) go before all others, so that none starves.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/capacity/served_fractions.h"
#include "coordination/limits/fair_queue.h"

namespace peridot {

/// A request that waits.
struct waiting_request {
  queue_ticket Ticket;
  request_source Source;
  unsigned Weight = 1; ///< Of the account.
  urgency Urgency;
  /// Latest start with which the request can end before its deadline.
  instant LatestStart = instant::max();
};

/// Why a request is rejected without having run.
enum class queue_rejection {
  Full,    ///< The queue is full of requests that are as urgent or more.
  TooLate, ///< It could not run in time.
};

/// Returns the stable name of a cause, as used in logs and counters.
std::string_view nameOf(queue_rejection Cause);

struct rejected_request {
  queue_ticket Ticket;
  queue_rejection Cause = queue_rejection::Full;
};

/// Does no I/O and reads no clock; callers pass the time.
class urgency_queue {
public:
  explicit urgency_queue(std::size_t MaxWaiting) : MaxWaiting(MaxWaiting) {}

  /// Queues a request.
  /// \param TimePerCompletion mean time between two requests that are served;
  ///        empty: unknown, so that none is rejected as too late.
  /// \returns the requests that are rejected for it, possibly itself.
  std::vector<rejected_request>
  enqueue(const waiting_request &Request,
          std::optional<duration> TimePerCompletion, instant Now);
  /// Removes and returns the next request to serve.
  std::optional<queue_ticket> dequeue(instant Now);
  /// Removes a request without serving it.
  void remove(queue_ticket Ticket);
  /// Removes and returns the requests that can no longer run in time.
  std::vector<queue_ticket> expire(instant Now);

  std::size_t size() const { return Waiting.size(); }

private:
  using turn_key = std::pair<urgency_class, account_name>;
  /// Position of a request in the order of service; smaller is served first.
  struct rank {
    bool IsNotOwed = false;
    urgency_class Class;
    bool IsLate = false;
    double Turn = 0; ///< Virtual time at which the account is served next.
    instant WaitingSince{};
    queue_ticket Ticket;

    auto operator<=>(const rank &) const = default;
  };

  rank rankOf(const waiting_request &Request, instant Now) const;
  double turnOf(const waiting_request &Request) const;
  /// Number of waiting requests that are served before \p Request.
  std::size_t countAhead(const waiting_request &Request, instant Now) const;
  /// Removes and returns the least urgent waiting request.
  queue_ticket removeLast(instant Now);
  /// Whether the least urgent waiting request cannot run in time.
  bool isLastTooLate(duration TimePerCompletion, instant Now) const;
  /// Index of the least urgent waiting request; there must be one.
  std::size_t indexOfLast(instant Now) const;
  void erase(std::size_t Index);

  std::size_t MaxWaiting;
  std::vector<waiting_request> Waiting;
  served_fractions Fractions;
  /// Virtual time of each class: the turn that was served last.
  std::map<urgency_class, double> CurrentTurns;
  /// Next turn of each account in each class. Forgotten when nothing waits.
  std::map<turn_key, double> NextTurns;
};

} // namespace peridot
