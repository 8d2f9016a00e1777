#include "coordination/registry/target_registry.h"

#include <algorithm>
#include <set>

namespace peridot {

std::string_view nameOf(target_transition Transition) {
  switch (Transition) {
  case target_transition::Draining:
    return "draining";
  case target_transition::Leaving:
    return "leaving";
  case target_transition::Removed:
    return "removed";
  case target_transition::Kept:
    return "kept-without-entry";
  case target_transition::Renewed:
    return "renewed";
  case target_transition::Expired:
    return "expired";
  }
  return "unknown";
}

bool target_registry::handle(const registry_event &Event, instant Now) {
  return std::visit([&](const auto &Each) { return accept(Each, Now); }, Event);
}

bool target_registry::mayBeRenewed(instant Now) const {
  return !AvailableSince || Now - *AvailableSince < Options.RenewalGracePeriod;
}

bool target_registry::remove(const target_name &Name, instant Now) {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return false;
  const bool IsDraining = Found->second.Target.Phase == target_phase::Draining;
  if (mayBeRenewed(Now) && !IsDraining) {
    if (!Found->second.MissingSince) {
      Found->second.MissingSince = Now;
      Decisions.push_back({Name, target_transition::Kept});
    }
    return false;
  }
  Decisions.push_back({Name, target_transition::Removed});
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
  const auto [Found, IsNew] = Entries.try_emplace(
      Event.Target.Target.Name, entry{.Target = Event.Target});
  if (IsNew)
    return true;
  const bool Changed = Found->second.Target != Event.Target;
  recordUpdate(Found->second, Event.Target);
  Found->second = {.Target = Event.Target,
                   .LeavingProcess = Found->second.LeavingProcess};
  return Changed;
}

void target_registry::recordUpdate(const entry &Previous,
                                   const registered_target &Updated) {
  if (Updated.Phase == target_phase::Draining &&
      Previous.Target.Phase != target_phase::Draining)
    Decisions.push_back({Updated.Target.Name, target_transition::Draining});
  else if (Previous.MissingSince)
    Decisions.push_back({Updated.Target.Name, target_transition::Renewed});
}

bool target_registry::accept(const target_removed &Event, instant Now) {
  return remove(Event.Target, Now);
}

bool target_registry::accept(const target_leaving &Event, instant /*Now*/) {
  const auto Found = Entries.find(Event.Target);
  if (Found == Entries.end())
    return false;
  entry &Entry = Found->second;
  if (Event.StartedAt < Entry.LeavingProcess.value_or(Entry.Target.StartedAt))
    return false;
  const bool WasLeaving = Entry.isLeaving();
  Entry.LeavingProcess = Event.StartedAt;
  if (WasLeaving || !Entry.isLeaving())
    return false;
  Decisions.push_back({Event.Target, target_transition::Leaving});
  return true;
}

bool target_registry::accept(const store_unavailable & /*Event*/,
                             instant /*Now*/) {
  AvailableSince.reset();
  return false;
}

bool target_registry::accept(const store_available &Event, instant /*Now*/) {
  AvailableSince = Event.Since;
  return false;
}

bool target_registry::expire(instant Now) {
  if (mayBeRenewed(Now))
    return false;
  return std::erase_if(Entries, [this](const auto &Each) {
           if (!Each.second.MissingSince)
             return false;
           Decisions.push_back({Each.first, target_transition::Expired});
           return true;
         }) > 0;
}

std::size_t target_registry::countIn(const data_center_name &DataCenter) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Entries, [&](const auto &Each) {
        return Each.second.Target.Target.DataCenter == DataCenter;
      }));
}

target_table target_registry::table() const {
  target_table Table;
  for (const auto &[Name, Entry] : Entries) {
    if (Entry.Target.Phase != target_phase::Ready || Entry.isLeaving())
      continue;
    target &Listed =
        Table[Entry.Target.Service].emplace_back(Entry.Target.Target);
    Listed.StartedAt = Entry.Target.StartedAt;
  }
  return Table;
}

} // namespace peridot
