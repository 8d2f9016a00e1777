#include "coordination/membership/preferred_vms.h"

#include <algorithm>
#include <map>
#include <utility>

#include "state/base/hashing.h"

namespace peridot {

std::vector<vm_name> preferredVms(const account_name &Account,
                                  std::span<const member> Members,
                                  std::size_t CountPerDataCenter) {
  using ranked_vm = std::pair<std::uint64_t, vm_name>;
  std::map<data_center_name, std::vector<ranked_vm>> Ranked;
  for (const member &Member : Members)
    if (!Member.Leaving)
      Ranked[Member.DataCenter].emplace_back(
          rendezvousWeight(Account.view(), Member.Vm.view()), Member.Vm);
  std::vector<vm_name> Preferred;
  for (auto &[DataCenter, Vms] : Ranked) {
    std::ranges::sort(Vms, std::greater<>{});
    Vms.resize(std::min(CountPerDataCenter, Vms.size()));
    for (ranked_vm &Vm : Vms)
      Preferred.push_back(std::move(Vm.second));
  }
  return Preferred;
}

} // namespace peridot
