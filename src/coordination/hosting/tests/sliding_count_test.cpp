#include "coordination/hosting/sliding_count.h"

#include <array>

#include <doctest/doctest.h>

#include "coordination/hosting/account_buckets.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const account_name Keepers("keepers");

/// The primary of an account with 10 requests per second and a burst of 20,
/// which enforces the limit over windows of 5 s.
struct whole_limit_fixture {
  static constexpr duration Window = 5s;
  static constexpr double BurstPerWindow = 10;
  static constexpr double MaxPerWindow = 10 * 5 + 20;

  whole_limit_fixture() {
    Primary.configure(
        std::vector<account_limit_share>{
            {.Account = Keepers,
             .Reserve = {10, 20},
             .InitialReserveTokens = 2,
             .ReserveWindow = Window,
             .ReserveBurstPerWindow = BurstPerWindow}},
        Now);
  }

  /// Takes all that is granted, every 50 ms, for \p Length.
  unsigned takeAll(duration Length) {
    unsigned Taken = 0;
    for (const instant End = Now + Length; Now < End; Now += 50ms)
      Taken += Primary.grantFromReserve(Keepers, 100, Now);
    return Taken;
  }

  instant Now{1h};
  account_buckets Primary;
};

} // namespace

TEST_CASE("slidingCount_windowPasses_countIsZero") {
  sliding_count Count;
  Count.setWindow(5s);
  instant Now{1h};
  for (int Each = 0; Each < 10; ++Each) {
    Count.note(Now);
    Now += 100ms;
  }
  CHECK(Count.count(Now) == 10);
  CHECK(Count.count(Now + 3900ms) == 10);
  CHECK(Count.count(Now + 5300ms) == 0);
}

TEST_CASE_FIXTURE(whole_limit_fixture,
                  "primary_constantDemand_grantsBurstPerWindow") {
  takeAll(2 * Window);
  const unsigned Taken = takeAll(4 * Window);
  CHECK(Taken >= 4 * (10 * 5 + BurstPerWindow) - 1);
  CHECK(Taken <= 4 * (10 * 5 + BurstPerWindow) + 1);
}

TEST_CASE_FIXTURE(whole_limit_fixture,
                  "primary_burstAfterIdleTime_noWindowAboveTheLimit") {
  Now += 2 * Window;
  std::vector<unsigned> PerStep;
  for (int Step = 0; Step < 400; ++Step) {
    PerStep.push_back(Primary.grantFromReserve(Keepers, 100, Now));
    Now += 50ms;
  }
  for (std::size_t First = 0; First + 100 <= PerStep.size(); ++First) {
    unsigned Taken = 0;
    for (std::size_t Step = First; Step < First + 100; ++Step)
      Taken += PerStep[Step];
    CHECK(Taken <= MaxPerWindow);
  }
}

TEST_CASE_FIXTURE(whole_limit_fixture,
                  "primary_new_onlyTheRateInTheFirstWindow") {
  CHECK(takeAll(Window) <= 2 + 10 * 5 + 1);
}

TEST_CASE("primary_killedUnderOverload_sumWithSuccessorWithinTolerance") {
  const rate_tolerance Tolerance{.Window = 5s, .Share = 0.1, .Requests = 20};
  const std::array Accounts{client_account{
      .Name = Keepers, .Limit = {.RequestsPerSecond = 210, .Burst = 210}}};
  // Enough hosts for the limit not to be divided.
  std::vector<vm_name> Hosts;
  for (int Host = 0; Host < 80; ++Host)
    Hosts.emplace_back("vm-" + std::to_string(Host));
  const std::array StableHosts{Hosts.front()};
  instant Now{1h};
  const auto Configure = [&](account_buckets &Primary) {
    Primary.configure(demand_shares({.Tolerance = Tolerance})
                          .shares(Accounts,
                                  {.Hosts = Hosts, .StableHosts = StableHosts},
                                  Hosts.front(), Now),
                      Now);
  };
  const auto TakeFor = [&](account_buckets &Primary, duration Length) {
    unsigned Taken = 0;
    for (const instant End = Now + Length; Now < End; Now += 10ms)
      Taken += Primary.grantFromReserve(Keepers, 1000, Now);
    return Taken;
  };
  for (const duration Uptime : {500ms, 2000ms, 4000ms, 4800ms}) {
    account_buckets Killed;
    account_buckets Successor;
    Configure(Killed);
    Now += 20s;
    unsigned Taken = TakeFor(Killed, Uptime);
    Configure(Successor);
    Taken += TakeFor(Successor, 5s - Uptime);
    CHECK(Taken <= (210 * 5 + 210) * 1.1 + 20);
  }
}
