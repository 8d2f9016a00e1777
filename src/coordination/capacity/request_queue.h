/// \file
/// Queue of one service: by urgency if priorities differ, else fair between
/// accounts.
#pragma once

#include <map>
#include <variant>

#include "coordination/capacity/urgency_queue.h"

namespace peridot {

/// Order in which waiting requests are served.
enum class queue_order { FairByAccount, ByUrgency };

/// Does no I/O and reads no clock; callers pass the time.
class request_queue {
public:
  /// Changes the order; requests that wait keep waiting.
  void setOrder(queue_order Order, instant Now);
  queue_order order() const;

  /// See urgency_queue for these functions.
  std::vector<rejected_request>
  enqueue(const waiting_request &Request,
          std::optional<duration> TimePerCompletion, instant Now);
  std::optional<queue_ticket> dequeue(instant Now);
  void remove(queue_ticket Ticket);
  std::vector<queue_ticket> expire(instant Now);
  std::size_t size() const { return Requests.size(); }

private:
  static constexpr std::size_t MaxWaiting = 256;
  using ordered_queue = std::variant<fair_queue, urgency_queue>;

  ordered_queue Queue{fair_queue({.MaxWaiting = MaxWaiting})};
  std::map<queue_ticket, waiting_request> Requests;
};

} // namespace peridot
