#include "coordination/rollout/rollout_machine.h"

namespace peridot {

rollout_effect rollout_machine::handle(const rollout_event &Event) {
  return std::visit([this](const auto &E) { return accept(E); }, Event);
}

revision rollout_machine::inForce() const {
  return InForce ? InForce->configuration().Revision : revision{};
}

rollout_effect rollout_machine::accept(const configuration_received &Event) {
  if (Event.Configuration.Revision <= inForce())
    return rollout_ignored{"revision is not higher than the one in force"};
  InForce = std::make_shared<configuration_index>(Event.Configuration);
  return configuration_in_force{InForce};
}

} // namespace peridot
