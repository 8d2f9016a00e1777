#include "coordination/load_balancing/target_subsets.h"

#include <algorithm>
#include <cstdint>

#include "state/base/hashing.h"

namespace peridot {

namespace {

/// Something to be placed, or a place, with its hashed name.
struct hashed_item {
  std::uint64_t Hash = 0;
  std::size_t Size = 1; ///< Of a place: room that is left.
  std::size_t Index = 0;
};

std::uint64_t mix(std::uint64_t Item, std::uint64_t Place) {
  std::uint64_t Mixed = Item ^ (Place * 0x9E3779B97F4A7C15U);
  Mixed = (Mixed ^ (Mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  Mixed = (Mixed ^ (Mixed >> 27U)) * 0x94D049BB133111EBU;
  return Mixed ^ (Mixed >> 31U);
}

/// Returns the place with the highest rendezvous weight for \p Item among those
/// with enough room; if there is none, the place with most room.
std::size_t placeOf(const hashed_item &Item,
                    std::span<const hashed_item> Places) {
  std::size_t Best = 0;
  bool HasRoom = false;
  std::uint64_t MaxWeight = 0;
  for (std::size_t Each = 0; Each < Places.size(); ++Each) {
    if (Places[Each].Size < Item.Size) {
      if (!HasRoom && Places[Each].Size > Places[Best].Size)
        Best = Each;
      continue;
    }
    const std::uint64_t Weight = mix(Item.Hash, Places[Each].Hash);
    if (HasRoom && Weight <= MaxWeight)
      continue;
    Best = Each;
    MaxWeight = Weight;
    HasRoom = true;
  }
  return Best;
}

/// Distributes \p Items over \p Places, which get equal room.
/// \returns the index of the place of each item, in the order of Index.
std::vector<std::size_t> distribute(std::vector<hashed_item> Items,
                                    std::vector<hashed_item> Places) {
  std::size_t Total = 0;
  for (const hashed_item &Each : Items)
    Total += Each.Size;
  for (hashed_item &Each : Places)
    Each.Size = (Total + Places.size() - 1) / Places.size();
  // All VMs place the items in the same order, whatever order they know.
  std::ranges::sort(Items, {}, &hashed_item::Hash);
  std::ranges::sort(Places, {}, &hashed_item::Hash);
  std::vector<std::size_t> PlaceOfItem(Items.size());
  for (const hashed_item &Item : Items) {
    hashed_item &Place = Places[placeOf(Item, Places)];
    Place.Size -= std::min(Place.Size, Item.Size);
    PlaceOfItem[Item.Index] = Place.Index;
  }
  return PlaceOfItem;
}

} // namespace

void addOwnTargets(std::span<const target> ServiceTargets,
                   const dividing_hosts &Hosts, target_subset &Subset) {
  std::vector<const target *> Local;
  for (const target &Each : ServiceTargets)
    if (Each.DataCenter == Hosts.DataCenter)
      Local.push_back(&Each);
  const auto Self = std::ranges::find(Hosts.Hosts, Hosts.Self);
  if (Local.empty() || Self == Hosts.Hosts.end())
    return;
  const auto SelfIndex = static_cast<std::size_t>(Self - Hosts.Hosts.begin());
  std::vector<hashed_item> Targets;
  for (const target *Each : Local)
    Targets.push_back({.Hash = contentHash(Each->Name.view()),
                       .Size = std::max(Each->Slots, 1U),
                       .Index = Targets.size()});
  std::vector<hashed_item> Vms;
  for (const vm_name &Each : Hosts.Hosts)
    Vms.push_back({.Hash = contentHash(Each.view()), .Index = Vms.size()});
  if (Targets.size() < Vms.size()) {
    const std::size_t Own = distribute(std::move(Vms), Targets)[SelfIndex];
    Subset.insert(Local[Own]->Name);
    return;
  }
  const std::vector<std::size_t> Owners = distribute(Targets, std::move(Vms));
  for (std::size_t Each = 0; Each < Local.size(); ++Each)
    if (Owners[Each] == SelfIndex)
      Subset.insert(Local[Each]->Name);
}

} // namespace peridot
