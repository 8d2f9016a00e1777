#include "coordination/registry/evacuation_registry.h"

namespace peridot {

bool evacuation_registry::handle(const evacuation_event &Event) {
  return std::visit([&](const auto &Each) { return accept(Each); }, Event);
}

bool evacuation_registry::accept(const evacuations_listed &Event) {
  IsListed = true;
  data_center_set Listed;
  for (const requested_evacuation &Each : Event.Evacuations)
    Listed.insert(Each.DataCenter);
  bool Changed = false;
  for (const data_center_name &Each : data_center_set(Evacuated))
    if (!Listed.contains(Each))
      Changed |= accept(evacuation_withdrawn{Each});
  for (const data_center_name &Each : Listed)
    Changed |= accept(evacuation_requested{{Each}});
  return Changed;
}

bool evacuation_registry::accept(const evacuation_requested &Event) {
  if (!Evacuated.insert(Event.Evacuation.DataCenter).second)
    return false;
  Decisions.push_back(
      {Event.Evacuation.DataCenter, evacuation_transition::Started});
  return true;
}

bool evacuation_registry::accept(const evacuation_withdrawn &Event) {
  if (Evacuated.erase(Event.DataCenter) == 0)
    return false;
  Decisions.push_back({Event.DataCenter, evacuation_transition::Ended});
  return true;
}

std::size_t removeEvacuated(target_table &Table,
                            const data_center_set &Evacuated) {
  std::size_t Removed = 0;
  for (auto &[Service, Registered] : Table)
    Removed += std::erase_if(Registered, [&](const target &Each) {
      return Evacuated.contains(Each.DataCenter);
    });
  return Removed;
}

} // namespace peridot
