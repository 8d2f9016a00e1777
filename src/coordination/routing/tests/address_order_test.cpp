#include "coordination/routing/address_order.h"

#include <set>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct address_order_fixture {
  address_options Options;
  std::vector<vm_address> Vms;
  client_account Account{.Name = account_name("keepers"),
                         .Limit = {.RequestsPerSecond = 50, .Burst = 1}};

  address_order_fixture() {
    for (int Index = 0; Index < 42; ++Index)
      Vms.push_back(
          {.Vm = vm_name("vm-" + std::to_string(Index)),
           .DataCenter = data_center_name("dc-" + std::to_string(Index % 3))});
  }

  std::vector<vm_address> order(std::uint64_t Random, bool Known = true) const {
    return orderAddresses(Vms,
                          {.Account = Known ? &Account : nullptr,
                           .NearestDataCenter = data_center_name("dc-1"),
                           .Random = Random},
                          Options);
  }

  std::set<vm_name> preferredVmSet(std::uint64_t Random) const {
    const std::vector<vm_address> Ordered = order(Random);
    std::set<vm_name> Names;
    for (const vm_address &Vm : std::span(Ordered).first(6))
      Names.insert(Vm.Vm);
    return Names;
  }
};

} // namespace

TEST_CASE_FIXTURE(address_order_fixture,
                  "orderAddresses_knownAccount_preferredVmsBeforeSpares") {
  const auto Ordered = order(1);
  CHECK(Ordered.size() == 10);
  CHECK(Ordered[0].DataCenter == data_center_name("dc-1"));
  CHECK(Ordered[1].DataCenter == data_center_name("dc-1"));
  CHECK(Ordered[2].DataCenter != data_center_name("dc-1"));
  CHECK(preferredVmSet(1) == preferredVmSet(2));
}

TEST_CASE_FIXTURE(address_order_fixture,
                  "orderAddresses_manyCallers_spreadOverNearestPreferredVms") {
  std::set<vm_name> First;
  for (std::uint64_t Random = 0; Random < 32; ++Random)
    First.insert(order(Random)[0].Vm);
  CHECK(First.size() == 2);
}

TEST_CASE_FIXTURE(address_order_fixture,
                  "orderAddresses_suspectedVm_listedLast") {
  const vm_name Suspect = order(1)[0].Vm;
  for (vm_address &Vm : Vms)
    Vm.Suspected = Vm.Vm == Suspect;
  CHECK(order(1).back().Vm == Suspect);
}

TEST_CASE_FIXTURE(address_order_fixture, "orderAddresses_noKey_generalList") {
  const auto Ordered = order(1, false);
  CHECK(Ordered.size() == Options.MaxVmsWithoutKey);
  CHECK(Ordered[13].DataCenter == data_center_name("dc-1"));
}

TEST_CASE_FIXTURE(address_order_fixture,
                  "preferredVmsPerDataCenter_higherLimit_moreVmsWithinBounds") {
  CHECK(preferredVmsPerDataCenter({.RequestsPerSecond = 10}, Options) == 2);
  CHECK(preferredVmsPerDataCenter({.RequestsPerSecond = 450}, Options) == 5);
  CHECK(preferredVmsPerDataCenter({.RequestsPerSecond = 1e6}, Options) == 16);
}
