/// \file
/// Time for the control thread: parts subscribe to periods and delays.
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "state/base/types/instant.h"

namespace peridot {

/// Reads the boot clock, which also counts time spent suspended.
instant bootNow();

/// Ends its subscription when destroyed.
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

/// Calls subscribers on the event loop it was made for.
class timer_service {
public:
  using callback = std::function<void(instant Now)>;

  explicit timer_service(boost::asio::io_context &Loop) : Loop(Loop) {}

  /// Calls \p Callback each \p Period. Missed periods are not made up for.
  [[nodiscard]] timer_subscription every(duration Period, callback Callback);
  /// Calls \p Callback once after \p Delay.
  [[nodiscard]] timer_subscription once(duration Delay, callback Callback);

  instant now() const { return bootNow(); }

private:
  boost::asio::io_context &Loop;
};

} // namespace peridot
