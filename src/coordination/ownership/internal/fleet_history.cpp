#include "coordination/ownership/fleet_history.h"

namespace peridot {

void fleet_history::listed(std::span<const member> Members, instant Now) {
  for (auto &[Vm, IsShown] : Shown)
    IsShown = false;
  for (const member &Member : Members) {
    Shown[Member.Vm] = true;
    DroppedAt.erase(Member.Vm);
    noteIncarnation({Member.Vm, Member.Incarnation}, Now);
  }
  for (const auto &[Vm, IsShown] : Shown)
    if (!IsShown)
      DroppedAt.try_emplace(Vm, Now);
}

void fleet_history::heard(const vm_incarnation &Sender, instant Now) {
  noteIncarnation(Sender, Now);
  const auto Dropped = DroppedAt.find(Sender.Vm);
  if (Dropped != DroppedAt.end())
    Dropped->second = Now;
}

void fleet_history::noteIncarnation(const vm_incarnation &Sender, instant Now) {
  newest_incarnation &Known = Newest[Sender.Vm];
  if (Sender.Incarnation > Known.Incarnation)
    Known = {Sender.Incarnation, Now};
}

bool fleet_history::goneFor(const vm_incarnation &Vm, duration Least,
                            instant Now) const {
  const auto Dropped = DroppedAt.find(Vm.Vm);
  if (Dropped != DroppedAt.end() && Now - Dropped->second >= Least)
    return true;
  const auto Later = Newest.find(Vm.Vm);
  return Later != Newest.end() && Later->second.Incarnation > Vm.Incarnation &&
         Now - Later->second.Since >= Least;
}

} // namespace peridot
