#include "coordination/rollout/rollout_machine.h"

namespace peridot {

rollout_effect rollout_machine::handle(const rollout_event &Event) {
  return std::visit([this](const auto &E) { return accept(E); }, Event);
}

revision rollout_machine::inForce() const {
  return InForce ? InForce->configuration().Revision : revision{};
}

bool rollout_machine::keysAreFresh(instant Now) const {
  return InForce && Now - LastConfirmed <= Options.FreshnessLimit;
}

rollout_effect rollout_machine::accept(const configuration_received &Event) {
  if (Event.Configuration.Revision <= inForce())
    return rollout_ignored{"revision is not higher than the one in force"};
  InForce = std::make_shared<configuration_index>(Event.Configuration);
  return configuration_in_force{InForce};
}

rollout_effect rollout_machine::accept(const revision_confirmed &Event) {
  if (Event.Current > inForce())
    return rollout_ignored{"a higher revision is not here yet"};
  if (Event.ConfirmedAt > LastConfirmed)
    LastConfirmed = Event.ConfirmedAt;
  return rollout_ignored{"confirmation noted"};
}

} // namespace peridot
