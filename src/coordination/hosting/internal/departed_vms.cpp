#include "coordination/hosting/departed_vms.h"

#include <algorithm>
#include <utility>

namespace peridot {

void departed_vms::setRegisteredVms(std::span<const ranked_vm> Listed,
                                    instant Now) {
  std::map<vm_name, registered_vm> Next;
  for (const ranked_vm &Each : Listed)
    Next.emplace(Each.Vm.Vm, Each.Vm);
  for (const auto &[Name, Vm] : Registered)
    if (Name != Self && !Next.contains(Name))
      Departed[Name] = {.Vm = Vm, .DepartedAt = Now, .LastHeardAt = Now};
  std::erase_if(Departed,
                [&](const auto &Each) { return Next.contains(Each.first); });
  Registered = std::move(Next);
}

void departed_vms::recordMessage(const vm_name &Vm, incarnation Incarnation,
                                 instant Now) {
  const auto Found = Departed.find(Vm);
  if (Found != Departed.end() && Found->second.Vm.Incarnation == Incarnation)
    Found->second.LastHeardAt = Now;
}

bool departed_vms::dropEnded(instant Now) {
  return std::erase_if(Departed, [&](const auto &Each) {
           return Now - Each.second.DepartedAt >= Options.MaxStopTime;
         }) > 0;
}

std::vector<registered_vm> departed_vms::reachable() const {
  std::vector<registered_vm> Vms;
  for (const auto &[Name, Each] : Departed)
    Vms.push_back(Each.Vm);
  return Vms;
}

std::vector<vm_name>
departed_vms::reportRecipients(const data_center_name &DataCenter,
                               instant Now) const {
  std::vector<vm_name> Names;
  for (const auto &[Name, Each] : Departed)
    if (Each.Vm.DataCenter == DataCenter &&
        Now - Each.LastHeardAt < Options.SilenceLimit)
      Names.push_back(Name);
  return Names;
}

bool departed_vms::hasRegisteredVm(const data_center_name &DataCenter) const {
  return std::ranges::any_of(Registered, [&](const auto &Each) {
    return Each.second.DataCenter == DataCenter;
  });
}

std::vector<emptied_data_center> departed_vms::emptiedDataCenters() const {
  std::vector<const departed_vm *> LastFirst;
  for (const auto &[Name, Each] : Departed)
    if (!hasRegisteredVm(Each.Vm.DataCenter))
      LastFirst.push_back(&Each);
  std::ranges::stable_sort(LastFirst, std::ranges::greater(),
                           &departed_vm::DepartedAt);
  std::vector<emptied_data_center> Emptied;
  for (const departed_vm *Each : LastFirst) {
    auto Found = std::ranges::find(Emptied, Each->Vm.DataCenter,
                                   &emptied_data_center::DataCenter);
    if (Found == Emptied.end())
      Found = Emptied.insert(Found, {.DataCenter = Each->Vm.DataCenter});
    if (Found->LastVms.size() < Options.RemoteRecipients)
      Found->LastVms.push_back(Each->Vm.Vm);
  }
  return Emptied;
}

} // namespace peridot
