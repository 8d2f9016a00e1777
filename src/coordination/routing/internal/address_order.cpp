#include "coordination/routing/address_order.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <unordered_set>

#include "coordination/membership/home_vms.h"
#include "state/base/hashing.h"

namespace peridot {

namespace {

/// A candidate with what its place depends on; lower comes first.
struct placed_address {
  bool Suspected = false;
  bool IsHome = false;
  bool IsNear = false;
  std::uint64_t Shuffle = 0;
  const vm_address *Address = nullptr;

  auto place() const {
    return std::tuple(Suspected, !IsHome, !IsNear, Shuffle);
  }
};

std::unordered_set<vm_name> homesOf(const client_account &Account,
                                    std::span<const vm_address> Vms,
                                    const address_options &Options) {
  std::vector<member> Members;
  Members.reserve(Vms.size());
  for (const vm_address &Vm : Vms)
    Members.push_back({.Vm = Vm.Vm, .DataCenter = Vm.DataCenter});
  const std::vector<vm_name> Homes = homeVms(
      Account.Name, Members, homesPerDataCenter(Account.Limit, Options));
  return {Homes.begin(), Homes.end()};
}

std::vector<placed_address> placeAll(std::span<const vm_address> Vms,
                                     const std::unordered_set<vm_name> &Homes,
                                     const address_question &Question) {
  const std::string Seed = std::to_string(Question.Random);
  std::vector<placed_address> Placed;
  Placed.reserve(Vms.size());
  for (const vm_address &Vm : Vms)
    Placed.push_back({.Suspected = Vm.Suspected,
                      .IsHome = Homes.contains(Vm.Vm),
                      .IsNear = Vm.DataCenter == Question.Nearest,
                      .Shuffle = rendezvousWeight(Seed, Vm.Vm.view()),
                      .Address = &Vm});
  std::ranges::sort(Placed, {}, &placed_address::place);
  return Placed;
}

} // namespace

std::size_t homesPerDataCenter(const rate_limit &Limit,
                               const address_options &Options) {
  const double Wanted =
      std::ceil(Limit.RequestsPerSecond / Options.RatePerHome);
  return static_cast<std::size_t>(
      std::clamp(Wanted, static_cast<double>(Options.LeastHomes),
                 static_cast<double>(Options.MostHomes)));
}

std::vector<vm_address> orderAddresses(std::span<const vm_address> Vms,
                                       const address_question &Question,
                                       const address_options &Options) {
  std::unordered_set<vm_name> Homes;
  if (Question.Account)
    Homes = homesOf(*Question.Account, Vms, Options);
  std::size_t OthersLeft =
      Question.Account ? Options.Spares : Options.GeneralLimit;
  std::vector<vm_address> Ordered;
  for (const placed_address &Each : placeAll(Vms, Homes, Question)) {
    if (!Each.IsHome && OthersLeft == 0)
      continue;
    if (!Each.IsHome)
      --OthersLeft;
    Ordered.push_back(*Each.Address);
  }
  return Ordered;
}

} // namespace peridot
