#include "transport/node/internal/health_driver.h"

#include <boost/asio/post.hpp>

#include "protocol/health_messages/health_codec.h"
#include "transport/logging/event_log.h"
#include "transport/node/internal/health_decisions.h"

namespace peridot {

namespace {

constexpr std::chrono::milliseconds TickPeriod{500};

} // namespace

health_driver::health_driver(control_context &Context)
    : Context(Context),
      Coordinator({.Self = Context.Self.Vm,
                   .DataCenter = Context.Settings.DataCenter}) {}

void health_driver::start() {
  Context.Peers.subscribe(frame_subject::Health,
                          [this](const peer_hello &Sender, bytes_view Body) {
                            receive(Sender, Body);
                          });
  TickTimer = Context.Timers.every(TickPeriod, [this](instant) { tick(); });
}

void health_driver::submitAttempts(std::vector<attempt_observation> Attempts) {
  boost::asio::post(Context.Loop, [this, Batch = std::move(Attempts)] {
    apply(Coordinator.observe(Batch, fleetView()));
  });
}

void health_driver::receive(const peer_hello &Sender, bytes_view Body) {
  const auto Message = decodeHealthMessage(Body);
  if (!Message) {
    logError("health-message-refused", Message.error());
    return;
  }
  const health_sender From{.Vm = Sender.Sender.Vm,
                           .DataCenter = Sender.DataCenter};
  apply(Coordinator.receive(From, *Message, fleetView()));
}

void health_driver::tick() {
  const configuration_ptr &Current = Context.Snapshots.current().Configuration;
  if (Current != Configuration) {
    Configuration = Current;
    apply(Coordinator.configure(Configuration, fleetView()));
  }
  apply(Coordinator.tick(fleetView()));
}

void health_driver::apply(const health_effects &Effects) {
  for (const outgoing_health_message &Each : Effects.Messages)
    Context.Peers.send(Each.To, frame_subject::Health,
                       encodeHealthMessage(Each.Message));
  for (const service_decision &Decision : Effects.Decisions)
    Context.Decisions.record(journalEntryFor(Decision));
  if (Effects.ConditionsChanged)
    publishConditions();
}

void health_driver::publishConditions() {
  auto Conditions = Coordinator.conditions(Context.Timers.now());
  if (Conditions == Context.Snapshots.current().Conditions)
    return;
  Context.Snapshots.update([&Conditions](routing_snapshot &Snapshot) {
    Snapshot.Conditions = std::move(Conditions);
  });
}

health_context health_driver::fleetView() const {
  return {.Ownership = Context.Ownership,
          .Members = Context.Members,
          .Now = Context.Timers.now()};
}

} // namespace peridot
