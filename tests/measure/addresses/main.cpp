/// \file
/// Counts how many VMs are preferred for the callers of one account, and how
/// many VMs receive requests for one service as a result.

#include <algorithm>
#include <cstdio>
#include <random>
#include <set>

#include "coordination/membership/preferred_vms.h"
#include "coordination/routing/address_order.h"

namespace peridot {

namespace {

constexpr std::uint64_t Seed = 20261204;

struct fleet_size {
  const char *Name;
  std::size_t Vms;
  std::size_t DataCenters;
  std::size_t Accounts;
  std::size_t Services;
  std::size_t ServicesPerAccount;
  double RequestsPerSecond; ///< Total of all accounts.
};

constexpr fleet_size Sizes[] = {
    {"Hivecrest today", 44, 3, 8, 4, 4, 800},
    {"target", 640, 5, 16'000, 350, 2, 180'000},
};

std::vector<vm_address> makeVms(const fleet_size &Size) {
  std::vector<vm_address> Vms;
  for (std::size_t Index = 0; Index < Size.Vms; ++Index)
    Vms.push_back({.Vm = vm_name("vm-" + std::to_string(Index)),
                   .DataCenter = data_center_name(
                       "dc-" + std::to_string(Index % Size.DataCenters))});
  return Vms;
}

/// Rates are proportional to 1/rank, so that a few accounts are large.
std::vector<client_account> makeAccounts(const fleet_size &Size) {
  double Sum = 0;
  for (std::size_t Index = 0; Index < Size.Accounts; ++Index)
    Sum += 1.0 / static_cast<double>(Index + 1);
  std::vector<client_account> Accounts;
  for (std::size_t Index = 0; Index < Size.Accounts; ++Index)
    Accounts.push_back(
        {.Name = account_name("account-" + std::to_string(Index)),
         .Limit = {.RequestsPerSecond = Size.RequestsPerSecond /
                                        static_cast<double>(Index + 1) / Sum,
                   .Burst = 1}});
  return Accounts;
}

std::vector<member> membersOf(std::span<const vm_address> Vms) {
  std::vector<member> Members;
  for (const vm_address &Vm : Vms)
    Members.push_back({.Vm = Vm.Vm, .DataCenter = Vm.DataCenter});
  return Members;
}

void measure(const fleet_size &Size) {
  std::mt19937_64 Random(Seed);
  const std::vector<member> Members = membersOf(makeVms(Size));
  std::vector<std::set<vm_name>> VmsByService(Size.Services);
  std::vector<std::size_t> VmCounts;
  const std::vector<client_account> Accounts = makeAccounts(Size);
  for (const client_account &Account : Accounts) {
    const std::vector<vm_name> PreferredVms = preferredVms(
        Account.Name, Members,
        preferredVmsPerDataCenter(Account.Limit, address_options{}));
    VmCounts.push_back(PreferredVms.size());
    for (std::size_t Each = 0; Each < Size.ServicesPerAccount; ++Each) {
      const std::size_t Service = Size.ServicesPerAccount == Size.Services
                                      ? Each
                                      : Random() % Size.Services;
      VmsByService[Service].insert(PreferredVms.begin(), PreferredVms.end());
    }
  }
  std::ranges::sort(VmCounts);
  std::size_t Max = 0;
  std::size_t Sum = 0;
  for (const auto &PreferredVms : VmsByService) {
    Max = std::max(Max, PreferredVms.size());
    Sum += PreferredVms.size();
  }
  std::printf("%s: VMs that one account's callers reach: median %zu, most %zu "
              "of %zu; VMs that serve one service: mean %zu, most %zu\n",
              Size.Name, VmCounts[VmCounts.size() / 2], VmCounts.back(),
              Size.Vms, Sum / Size.Services, Max);
}

} // namespace

} // namespace peridot

int main() {
  for (const auto &Size : peridot::Sizes)
    peridot::measure(Size);
}
