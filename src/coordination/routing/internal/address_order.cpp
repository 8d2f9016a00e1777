#include "coordination/routing/address_order.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "coordination/membership/preferred_vms.h"
#include "state/base/hashing.h"

namespace peridot {

namespace {

/// A VM address with the values that it is sorted by; lower ranks come first.
struct ranked_address {
  bool Suspected = false;
  bool IsPreferred = false;
  bool IsInNearestDataCenter = false;
  std::uint64_t Shuffle = 0;
  const vm_address *Address = nullptr;

  auto rank() const {
    return std::tuple(Suspected, !IsPreferred, !IsInNearestDataCenter, Shuffle);
  }
};

std::unordered_set<vm_name> preferredVmsOf(const client_account &Account,
                                           std::span<const vm_address> Vms,
                                           const address_options &Options) {
  std::vector<member> Members;
  Members.reserve(Vms.size());
  for (const vm_address &Vm : Vms)
    Members.push_back({.Vm = Vm.Vm, .DataCenter = Vm.DataCenter});
  const std::vector<vm_name> PreferredVms = preferredVms(
      Account.Name, Members, preferredVmsPerDataCenter(Account.Limit, Options));
  return {PreferredVms.begin(), PreferredVms.end()};
}

std::vector<ranked_address>
rankAll(std::span<const vm_address> Vms,
        const std::unordered_set<vm_name> &PreferredVms,
        const address_request &Request) {
  const std::string Seed = std::to_string(Request.Random);
  std::vector<ranked_address> Ranked;
  Ranked.reserve(Vms.size());
  for (const vm_address &Vm : Vms)
    Ranked.push_back(
        {.Suspected = Vm.Suspected,
         .IsPreferred = PreferredVms.contains(Vm.Vm),
         .IsInNearestDataCenter = Vm.DataCenter == Request.NearestDataCenter,
         .Shuffle = rendezvousWeight(Seed, Vm.Vm.view()),
         .Address = &Vm});
  std::ranges::sort(Ranked, {}, &ranked_address::rank);
  return Ranked;
}

} // namespace

std::size_t preferredVmsPerDataCenter(const rate_limit &Limit,
                                      const address_options &Options) {
  const double Required = std::ceil(Limit.RequestsPerSecond /
                                    Options.RequestsPerSecondPerPreferredVm);
  return static_cast<std::size_t>(
      std::clamp(Required, static_cast<double>(Options.MinPreferredVms),
                 static_cast<double>(Options.MaxPreferredVms)));
}

std::vector<vm_address> orderAddresses(std::span<const vm_address> Vms,
                                       const address_request &Request,
                                       const address_options &Options) {
  std::unordered_set<vm_name> PreferredVms;
  if (Request.Account)
    PreferredVms = preferredVmsOf(*Request.Account, Vms, Options);
  std::size_t OthersRemaining =
      Request.Account ? Options.Spares : Options.MaxVmsWithoutKey;
  std::vector<vm_address> Ordered;
  for (const ranked_address &Each : rankAll(Vms, PreferredVms, Request)) {
    if (!Each.IsPreferred && OthersRemaining == 0)
      continue;
    if (!Each.IsPreferred)
      --OthersRemaining;
    Ordered.push_back(*Each.Address);
  }
  return Ordered;
}

} // namespace peridot
