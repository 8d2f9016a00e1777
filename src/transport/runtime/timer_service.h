/// \file
/// Periodic and one-time timers, and the clock, of the control thread.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "state/base/types/instant.h"

namespace peridot {

/// Returns the time since boot, including time in which the system was
/// suspended.
instant bootNow();

/// Owns the subscription to a timer and cancels it on destruction.
class timer_subscription {
public:
  struct state;

  timer_subscription() = default;
  explicit timer_subscription(std::shared_ptr<state> State);
  timer_subscription(timer_subscription &&) noexcept = default;
  timer_subscription &operator=(timer_subscription &&Other) noexcept;
  ~timer_subscription();

  void cancel();

private:
  std::shared_ptr<state> State;
};

/// Calls subscribers on the event loop passed to the constructor.
class timer_service {
public:
  using callback = std::function<void(instant Now)>;

  explicit timer_service(boost::asio::io_context &Loop) : Loop(Loop) {}

  /// Calls \p Callback every \p Period. Missed periods are skipped.
  [[nodiscard]] timer_subscription every(duration Period, callback Callback);
  /// Calls \p Callback once after \p Delay.
  [[nodiscard]] timer_subscription once(duration Delay, callback Callback);

  instant now() const { return bootNow(); }

private:
  boost::asio::io_context &Loop;
};

} // namespace peridot
