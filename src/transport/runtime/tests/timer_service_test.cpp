#include "transport/runtime/timer_service.h"

#include <doctest/doctest.h>

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

TEST_CASE_FIXTURE(timer_service_fixture,
                  "once_subscriptionDestroyed_neverFires") {
  bool Called = false;
  {
    const auto Subscription = Timers.once(0ms, [&](instant) { Called = true; });
  }
  Loop.run();
  CHECK_FALSE(Called);
}
