#include "coordination/load_balancing/target_subsets.h"

#include <algorithm>

#include <doctest/doctest.h>

using namespace peridot;

namespace {

struct target_subsets_fixture {
  void make(std::size_t Targets, std::size_t Vms) {
    for (std::size_t Each = 0; Each < Targets; ++Each)
      Service.push_back({.Name = target_name("i-" + std::to_string(Each)),
                         .DataCenter = data_center_name("lakes-a")});
    for (std::size_t Each = 0; Each < Vms; ++Each)
      Hosts.emplace_back("vm-" + std::to_string(Each));
  }

  target_subset subsetOf(const vm_name &Vm) const {
    target_subset Subset;
    addOwnTargets(
        Service,
        {.DataCenter = data_center_name("lakes-a"), .Self = Vm, .Hosts = Hosts},
        Subset);
    return Subset;
  }

  /// Returns how many VMs prefer \p Name.
  std::size_t ownersOf(const target_name &Name) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Hosts, [&](const vm_name &Each) {
          return subsetOf(Each).contains(Name);
        }));
  }

  std::vector<target> Service;
  std::vector<vm_name> Hosts;
};

} // namespace

// A target that belongs to several VMs is overrun; one without a VM idles.
TEST_CASE_FIXTURE(target_subsets_fixture,
                  "addOwnTargets_moreTargetsThanHosts_eachHasOneOwner") {
  make(38, 9);
  for (const target &Each : Service)
    CHECK(ownersOf(Each.Name) == 1);
  for (const vm_name &Each : Hosts) {
    CHECK(subsetOf(Each).size() >= 2);
    CHECK(subsetOf(Each).size() <= 5);
  }
}

TEST_CASE_FIXTURE(target_subsets_fixture,
                  "addOwnTargets_fewerTargetsThanHosts_evenNumberOfOwners") {
  make(5, 12);
  for (const vm_name &Each : Hosts)
    CHECK(subsetOf(Each).size() == 1);
  for (const target &Each : Service) {
    CHECK(ownersOf(Each.Name) >= 1);
    CHECK(ownersOf(Each.Name) <= 3);
  }
}

// VMs read the lists in different orders.
TEST_CASE_FIXTURE(target_subsets_fixture,
                  "addOwnTargets_listsInOtherOrder_sameSubset") {
  make(38, 9);
  const target_subset Before = subsetOf(Hosts[4]);
  const vm_name Vm = Hosts[4];
  std::ranges::reverse(Service);
  std::rotate(Hosts.begin(), Hosts.begin() + 3, Hosts.end());
  CHECK(subsetOf(Vm) == Before);
}

// A subset that changes as a whole costs a new connection to each target.
TEST_CASE_FIXTURE(target_subsets_fixture,
                  "addOwnTargets_hostLeaves_mostTargetsStay") {
  make(110, 10);
  std::vector<target_subset> Before;
  for (const vm_name &Each : Hosts)
    Before.push_back(subsetOf(Each));
  Hosts.pop_back();
  std::size_t Kept = 0;
  for (std::size_t Each = 0; Each < Hosts.size(); ++Each)
    for (const target_name &Name : subsetOf(Hosts[Each]))
      Kept += Before[Each].count(Name);
  CHECK(Kept >= 70);
}

TEST_CASE_FIXTURE(target_subsets_fixture,
                  "addOwnTargets_vmIsNoHost_noTargets") {
  make(10, 3);
  CHECK(subsetOf(vm_name("another")).empty());
}
