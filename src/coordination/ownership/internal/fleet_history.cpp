#include "coordination/ownership/fleet_history.h"

namespace peridot {

void fleet_history::updateMembers(std::span<const member> Members,
                                  instant Now) {
  for (auto &[Vm, IsListed] : ListedVms)
    IsListed = false;
  for (const member &Member : Members) {
    ListedVms[Member.Vm] = true;
    DroppedAt.erase(Member.Vm);
    recordIncarnation({Member.Vm, Member.Incarnation}, Now);
  }
  for (const auto &[Vm, IsListed] : ListedVms)
    if (!IsListed)
      DroppedAt.try_emplace(Vm, Now);
}

void fleet_history::recordMessage(const vm_incarnation &Sender, instant Now) {
  recordIncarnation(Sender, Now);
  const auto Dropped = DroppedAt.find(Sender.Vm);
  if (Dropped != DroppedAt.end())
    Dropped->second = Now;
}

void fleet_history::recordIncarnation(const vm_incarnation &Sender,
                                      instant Now) {
  newest_incarnation &Newest = NewestIncarnations[Sender.Vm];
  if (Sender.Incarnation > Newest.Incarnation)
    Newest = {Sender.Incarnation, Now};
}

bool fleet_history::hasBeenGoneFor(const vm_incarnation &Vm,
                                   duration MinDuration, instant Now) const {
  const auto Dropped = DroppedAt.find(Vm.Vm);
  if (Dropped != DroppedAt.end() && Now - Dropped->second >= MinDuration)
    return true;
  const auto Later = NewestIncarnations.find(Vm.Vm);
  return Later != NewestIncarnations.end() &&
         Later->second.Incarnation > Vm.Incarnation &&
         Now - Later->second.FirstSeenAt >= MinDuration;
}

} // namespace peridot
