#include "coordination/registry/registration_monitor.h"

namespace peridot {

void registration_monitor::recordConfirmed(
    std::optional<std::uint64_t> Confirmed) {
  Revision = Confirmed;
}

registration_state registration_monitor::recordListed(
    const std::optional<listed_registration> &Listed, std::uint64_t Position) {
  if (Listed && Listed->Incarnation == Self) {
    Revision = Listed->Revision;
    return registration_state::Valid;
  }
  if (Listed && Listed->Incarnation > Self)
    return registration_state::Replaced;
  // A copy from before the registration shows nothing.
  const bool IsLater = Revision && Position >= *Revision;
  return IsLater ? registration_state::Lost : registration_state::Valid;
}

} // namespace peridot
