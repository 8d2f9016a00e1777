#include "coordination/ownership/witness_promises.h"

namespace peridot {

bool witness_promises::confirm(const vm_incarnation &Owner, instant Now) {
  if (RefusedOwners.contains(Owner))
    return false;
  PromisedUntil[Owner] = Now + Options.promiseLength();
  return true;
}

bool witness_promises::hasLapsed(const vm_incarnation &Owner, instant Now) {
  const auto [Entry, IsNew] =
      PromisedUntil.try_emplace(Owner, Now + Options.promiseLength());
  return !IsNew && Now >= Entry->second;
}

bool witness_promises::refuseIfLapsed(const vm_incarnation &Owner,
                                      instant Now) {
  if (!hasLapsed(Owner, Now))
    return false;
  RefusedOwners.insert(Owner);
  return true;
}

} // namespace peridot
