#include "coordination/hosting/account_buckets.h"

#include <array>

#include <doctest/doctest.h>

using namespace peridot;
using namespace std::chrono_literals;

namespace {

const account_name Keepers("keepers");

/// A VM that is primary of an account and has a share of it.
struct share_lease_fixture {
  static constexpr duration Lease = 2s;
  static constexpr double InitialTokens = 2;

  share_lease_fixture() {
    configure();
    Now += Lease;
  }

  void configure() {
    Buckets.configure(
        std::array{account_limit_share{.Account = Keepers,
                                       .Limit = {10, 20},
                                       .InitialTokens = InitialTokens,
                                       .Reserve = {10, 20},
                                       .InitialReserveTokens = InitialTokens}},
        Now);
  }

  bool take() {
    return std::holds_alternative<rate_admitted>(
        Buckets.take(Keepers, rate_check::First, Now));
  }

  instant Now{1h};
  account_buckets Buckets{Lease};
};

} // namespace

TEST_CASE_FIXTURE(share_lease_fixture, "take_endOfLease_admitted") {
  CHECK(take());
  CHECK(Buckets.grantFromReserve(Keepers, 1, Now) == 1);
}

// Guards against a VM that was frozen and uses, before it hears of the others,
// what these were given meanwhile.
TEST_CASE_FIXTURE(share_lease_fixture,
                  "take_leaseOver_refusedUntilConfigured") {
  Now += 1ms;
  CHECK(!take());
  CHECK(Buckets.grantFromReserve(Keepers, 1, Now) == 0);
  configure();
  CHECK(take());
  CHECK(Buckets.grantFromReserve(Keepers, 1, Now) == 1);
}

TEST_CASE_FIXTURE(share_lease_fixture,
                  "configure_leaseOver_tokensOfNewBuckets") {
  Now += 1ms;
  configure();
  CHECK(Buckets.grantFromReserve(Keepers, 100, Now) == InitialTokens);
  CHECK(take());
  CHECK(take());
  CHECK(!take());
}
