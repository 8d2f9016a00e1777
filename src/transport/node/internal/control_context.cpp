#include "transport/node/control_context.h"

#include "transport/logging/event_log.h"

namespace peridot {

void decision_recorder::record(decision Decision) {
  Decision.At = std::chrono::system_clock::now();
  logDecision(Decision);
  Journal.add(std::move(Decision));
}

void snapshot_publisher::update(const edit &Edit) {
  auto Next = std::make_shared<routing_snapshot>(*Current);
  Edit(*Next);
  Current = std::move(Next);
  for (const auto &Worker : Workers)
    Worker->publish(Current);
}

} // namespace peridot
