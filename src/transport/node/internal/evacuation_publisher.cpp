#include "transport/node/internal/evacuation_publisher.h"

#include "transport/logging/event_log.h"

namespace peridot {

void evacuation_publisher::apply(const store_items &Items, bool IsList) {
  Position = Items.Position;
  const bool WasKnown = Registry.isKnown();
  bool Changed = false;
  if (IsList)
    Changed = applyList(Items);
  else
    for (const store_item &Item : Items.Items)
      Changed |= applyChange(Item);
  if (Registry.isKnown() && (Changed || !WasKnown))
    Targets.setEvacuated(
        std::make_shared<const data_center_set>(Registry.dataCenters()));
  for (const evacuation_decision &Each : Registry.takeDecisions())
    record(Each);
}

bool evacuation_publisher::applyList(const store_items &Items) {
  evacuations_listed Listed;
  for (const store_item &Item : Items.Items)
    if (const auto *Each = std::get_if<requested_evacuation>(&Item.Content))
      Listed.Evacuations.push_back(*Each);
  return Registry.handle(std::move(Listed));
}

bool evacuation_publisher::applyChange(const store_item &Item) {
  if (Item.IsRemoved)
    return Registry.handle(evacuation_withdrawn{data_center_name(Item.Name)});
  const auto *Requested = std::get_if<requested_evacuation>(&Item.Content);
  return Requested && Registry.handle(evacuation_requested{*Requested});
}

void evacuation_publisher::record(const evacuation_decision &Decision) {
  const bool HasStarted = Decision.Transition == evacuation_transition::Started;
  const std::size_t Affected = Targets.countIn(Decision.DataCenter);
  Services.Metrics
      .getOrCreateCounter(HasStarted ? "peridot_evacuations_started_total"
                                     : "peridot_evacuations_ended_total")
      .add();
  Services.Decisions.record(
      {.Kind = HasStarted ? decision_kind::EvacuationStarted
                          : decision_kind::EvacuationEnded,
       .Subject = subject_kind::DataCenter,
       .Name = Decision.DataCenter.str(),
       .Cause = HasStarted ? "the store holds an evacuation of this name"
                           : "the store holds no evacuation of this name",
       .Evidence = std::to_string(Affected) +
                   " known targets are there; store position " +
                   std::to_string(Position),
       .Rule = "targets of an evacuated data centre get no new requests"});
  // Before the first list of targets, no data centre has any.
  if (HasStarted && Affected == 0 && Targets.isListed())
    logEvent(log_level::Warning, "evacuation-without-targets",
             {{"data_center", Decision.DataCenter.view()},
              {"rule", "targets that join there get no requests either"}});
}

} // namespace peridot
