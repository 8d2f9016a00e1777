#include "transport/runtime/timer_service.h"

#include <future>
#include <stdexcept>

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>

#include "transport/runtime/event_loop.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

struct timer_service_fixture {
  boost::asio::io_context Loop;
  timer_service Timers{Loop};
};

} // namespace

TEST_CASE_FIXTURE(timer_service_fixture,
                  "every_cancelledInThirdCall_firesThreeTimes") {
  int Calls = 0;
  timer_subscription Subscription;
  Subscription = Timers.every(1ms, [&](instant) {
    if (++Calls == 3)
      Subscription.cancel();
  });
  Loop.run();
  CHECK(Calls == 3);
}

// Guards against an unexpected error that ends a periodic task, or the process.
TEST_CASE_FIXTURE(timer_service_fixture,
                  "every_callbackThrows_nextCallStillFires") {
  int Calls = 0;
  std::vector<std::string> Errors;
  timer_subscription Subscription;
  event_loop Failing(
      "failing", [&](std::string_view Cause) { Errors.emplace_back(Cause); });
  timer_service FailingTimers(Failing.context());
  std::promise<void> SecondCall;
  boost::asio::post(Failing.context(), [&] {
    Subscription = FailingTimers.every(1ms, [&](instant) {
      if (++Calls == 1)
        throw std::runtime_error("unexpected");
      Subscription.cancel();
      SecondCall.set_value();
    });
  });
  CHECK(SecondCall.get_future().wait_for(5s) == std::future_status::ready);
  Failing.stop();
  CHECK(Calls == 2);
  CHECK(Errors == std::vector<std::string>{"unexpected"});
}

TEST_CASE_FIXTURE(timer_service_fixture,
                  "once_subscriptionDestroyed_neverFires") {
  bool Called = false;
  {
    const auto Subscription = Timers.once(0ms, [&](instant) { Called = true; });
  }
  Loop.run();
  CHECK_FALSE(Called);
}
