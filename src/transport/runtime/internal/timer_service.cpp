#include "transport/runtime/timer_service.h"

#include <ctime>

#include <boost/asio/steady_timer.hpp>

namespace peridot {

instant bootNow() {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  return instant(std::chrono::seconds(Now.tv_sec) +
                 std::chrono::nanoseconds(Now.tv_nsec));
}

struct timer_subscription::state {
  state(boost::asio::io_context &Loop, duration Interval, bool IsRepeating,
        timer_service::callback Callback)
      : Timer(Loop), Interval(Interval), IsRepeating(IsRepeating),
        Callback(std::move(Callback)) {}

  static void arm(const std::shared_ptr<state> &Self);
  static void fire(const std::shared_ptr<state> &Self);

  boost::asio::steady_timer Timer;
  duration Interval;
  bool IsRepeating;
  bool IsCancelled = false;
  timer_service::callback Callback;
};

void timer_subscription::state::arm(const std::shared_ptr<state> &Self) {
  Self->Timer.expires_after(Self->Interval);
  Self->Timer.async_wait([Self](const boost::system::error_code &Error) {
    if (!Error && !Self->IsCancelled)
      fire(Self);
  });
}

void timer_subscription::state::fire(const std::shared_ptr<state> &Self) {
  // Armed first, so that an exception does not end a repeating timer.
  if (Self->IsRepeating)
    arm(Self);
  Self->Callback(bootNow());
}

timer_subscription::timer_subscription(std::shared_ptr<state> SubscriptionState)
    : State(std::move(SubscriptionState)) {}

timer_subscription &
timer_subscription::operator=(timer_subscription &&Other) noexcept {
  cancel();
  State = std::move(Other.State);
  return *this;
}

timer_subscription::~timer_subscription() { cancel(); }

void timer_subscription::cancel() {
  if (!State)
    return;
  State->IsCancelled = true;
  State->Timer.cancel();
  State.reset();
}

timer_subscription timer_service::every(duration Period, callback Callback) {
  auto State = std::make_shared<timer_subscription::state>(Loop, Period, true,
                                                           std::move(Callback));
  timer_subscription::state::arm(State);
  return timer_subscription(std::move(State));
}

timer_subscription timer_service::once(duration Delay, callback Callback) {
  auto State = std::make_shared<timer_subscription::state>(Loop, Delay, false,
                                                           std::move(Callback));
  timer_subscription::state::arm(State);
  return timer_subscription(std::move(State));
}

} // namespace peridot
