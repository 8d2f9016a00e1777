#include <doctest/doctest.h>

#include "coordination/limits/share_allocator.h"
#include "coordination/limits/share_holder.h"

using namespace peridot;
using namespace std::chrono_literals;

namespace {

/// One owner and one holder of one account; the tests deliver the messages.
struct share_rules_fixture {
  share_options Options;
  vm_incarnation Owner{vm_name("vm-1"), {1}};
  vm_incarnation Self{vm_name("vm-2"), {7}};
  account_name Name{"keepers"};
  std::vector<limited_account> Accounts{
      {.Id = idOf(Name), .Name = Name, .Rate = 10, .Burst = 20}};
  std::vector<member> Members;
  ownership_view View;
  share_directory Directory;
  share_allocator Allocator{Owner, Options};
  share_holder Holder{Self.Incarnation, Options, Directory};
  instant Now{1h};

  share_rules_fixture() {
    const shard_number Shard = shardOf(Name);
    View.Map.Shards[Shard.Value] =
        shard_ownership{.Owner = Owner, .Epoch = {1}};
    View.ActingUntil[Shard] = instant::max();
    Allocator.handle(accounts_configured{Accounts}, Now);
    Holder.configure(Accounts, Now);
  }

  account_share &share() { return *Directory.find(Name); }
  int takeAll() {
    int Taken = 0;
    while (std::holds_alternative<rate_admitted>(share().take(Now)))
      ++Taken;
    return Taken;
  }
  /// Returns the batch that requests a share after a request was refused.
  share_request_batch requestShare() {
    share().take(Now);
    Now += 100ms;
    auto Batches = Holder.poll(View.Map, Now);
    REQUIRE(Batches.size() == 1);
    return Batches[0].Batch;
  }
  std::vector<addressed_grants> deliver(const share_request_batch &Batch) {
    return Allocator.handle(shares_requested{Self, Batch, {View, Members}},
                            Now);
  }
};

} // namespace

TEST_CASE_FIXTURE(share_rules_fixture, "allocator_repeatedBatch_grantsOnce") {
  Holder.poll(View.Map, Now);
  const share_request_batch Batch = requestShare();
  CHECK(deliver(Batch).size() == 1);
  CHECK(deliver(Batch).empty());
}

TEST_CASE_FIXTURE(share_rules_fixture,
                  "holder_grantForOtherIncarnation_ignored") {
  Holder.poll(View.Map, Now);
  share_grant_batch Grants = deliver(requestShare())[0].Batch;
  Grants.Holder = {6};
  Holder.receive(Grants, Now);
  CHECK(takeAll() == 0);
  Grants.Holder = Self.Incarnation;
  Holder.receive(Grants, Now);
  CHECK(takeAll() > 0);
}

TEST_CASE_FIXTURE(share_rules_fixture,
                  "holder_grantRequestedBeforeReturn_ignored") {
  Holder.poll(View.Map, Now);
  share_grant_batch Grants = deliver(requestShare())[0].Batch;
  Holder.receive(Grants, Now);
  // The smoothed demand decreases until the share is returned.
  share_request_batch Return;
  while (Return.Requests.empty() || Return.Requests[0].Demand > 0) {
    Now += 100ms;
    for (auto &Each : Holder.poll(View.Map, Now))
      Return = Each.Batch;
  }
  CHECK(Return.Requests[0].Returned > 0);
  Grants.Grants[0].Version = Return.Requests[0].ReleasedBelow.next();
  Holder.receive(Grants, Now);
  CHECK(takeAll() == 0);
}

TEST_CASE_FIXTURE(share_rules_fixture, "pool_returnAfterHoldTime_discarded") {
  constexpr duration HoldTime = 10s;
  share_pool Pool({.Rate = 0.01, .Burst = 20},
                  {.UsableFrom = Now, .StartsFull = true});
  const share_grant Grant =
      Pool.grant(Self, {.Demand = 1}, Now, split_by_demand{}, HoldTime, Now);
  CHECK(Grant.Tokens == doctest::Approx(20));
  Now += HoldTime + 1s;
  Pool.grant(Self, {.ReleasedBelow = Grant.Version.next(), .Returned = 20}, Now,
             split_by_demand{}, HoldTime, Now);
  CHECK(Pool.level() < 1);
}
