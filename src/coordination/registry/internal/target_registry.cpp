#include "coordination/registry/target_registry.h"

#include <set>

namespace peridot {

bool target_registry::handle(const registry_event &Event, instant Now) {
  return std::visit([&](const auto &Each) { return accept(Each, Now); }, Event);
}

bool target_registry::mayBeRenewed(instant Now) const {
  return IsStoreUnreachable ||
         (RegainedAt && Now - *RegainedAt < Options.RenewalGracePeriod);
}

bool target_registry::remove(const target_name &Name, instant Now) {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return false;
  const bool IsDraining = Found->second.Target.Phase == target_phase::Draining;
  if (mayBeRenewed(Now) && !IsDraining) {
    if (!Found->second.MissingSince)
      Found->second.MissingSince = Now;
    return false;
  }
  Entries.erase(Found);
  return true;
}

bool target_registry::accept(const targets_listed &Event, instant Now) {
  bool Changed = false;
  std::set<target_name> Listed;
  for (const registered_target &Each : Event.Targets) {
    Listed.insert(Each.Target.Name);
    Changed |= accept(target_changed{Each}, Now);
  }
  std::vector<target_name> Missing;
  for (const auto &[Name, Entry] : Entries)
    if (!Listed.contains(Name))
      Missing.push_back(Name);
  for (const target_name &Name : Missing)
    Changed |= remove(Name, Now);
  return Changed;
}

bool target_registry::accept(const target_changed &Event, instant /*Now*/) {
  const auto [Found, IsNew] =
      Entries.try_emplace(Event.Target.Target.Name, entry{Event.Target, {}});
  if (IsNew)
    return true;
  const bool Changed = Found->second.Target != Event.Target;
  Found->second = {Event.Target, std::nullopt};
  return Changed;
}

bool target_registry::accept(const target_removed &Event, instant Now) {
  return remove(Event.Target, Now);
}

bool target_registry::accept(const store_lost & /*Event*/, instant /*Now*/) {
  IsStoreUnreachable = true;
  return false;
}

bool target_registry::accept(const store_regained & /*Event*/, instant Now) {
  IsStoreUnreachable = false;
  RegainedAt = Now;
  return false;
}

bool target_registry::expire(instant Now) {
  if (mayBeRenewed(Now))
    return false;
  return std::erase_if(Entries, [](const auto &Each) {
           return Each.second.MissingSince.has_value();
         }) > 0;
}

target_table target_registry::table() const {
  target_table Table;
  for (const auto &[Name, Entry] : Entries)
    if (Entry.Target.Phase == target_phase::Ready)
      Table[Entry.Target.Service].push_back(Entry.Target.Target);
  return Table;
}

} // namespace peridot
