#include "coordination/ownership/witness_promises.h"

namespace peridot {

bool witness_promises::confirm(const vm_incarnation &Owner, instant Now) {
  if (Refused.contains(Owner))
    return false;
  PromisedUntil[Owner] = Now + Options.promise();
  return true;
}

bool witness_promises::lapsed(const vm_incarnation &Owner, instant Now) {
  const auto [Entry, IsNew] =
      PromisedUntil.try_emplace(Owner, Now + Options.promise());
  return !IsNew && Now >= Entry->second;
}

bool witness_promises::refuse(const vm_incarnation &Owner, instant Now) {
  if (!lapsed(Owner, Now))
    return false;
  Refused.insert(Owner);
  return true;
}

} // namespace peridot
