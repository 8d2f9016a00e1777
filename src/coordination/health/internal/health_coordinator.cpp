#include "coordination/health/health_coordinator.h"

#include <algorithm>

namespace peridot {

namespace {

/// Owner of the service's shard according to this VM's shard map.
std::optional<vm_incarnation> ownerOf(const service_name &Service,
                                      const health_context &Fleet) {
  const auto &Shard = Fleet.Ownership.Map.at(shardOf(Service));
  if (!Shard)
    return std::nullopt;
  return Shard->Owner;
}

bool isReachable(const vm_incarnation &Owner, const vm_name &Self,
                 const health_context &Fleet) {
  const auto &Members = Fleet.Members.Members;
  const auto Found = std::ranges::find(Members, Owner.Vm, &member::Vm);
  return Owner.Vm != Self && Found != Members.end() && !Found->Suspected;
}

} // namespace

health_effects health_coordinator::configure(configuration_ptr Next,
                                             const health_context &Fleet) {
  Configuration = std::move(Next);
  std::erase_if(Services, [this](const auto &Entry) {
    return Configuration->findService(Entry.first) == nullptr;
  });
  for (const service &Service : Configuration->configuration().Services) {
    service_state &State = Services[Service.Name];
    if (service_health *Detector = detectorOf(State.Role)) {
      const verdict_version Before = Detector->verdicts().Version;
      recordDecisions(Service.Name, State,
                      Detector->configure(Service, Fleet.Now));
      publishChanges(State, Before);
    }
    updateRole(Service, State, Fleet);
  }
  Effects.ConditionsChanged = true;
  return takeEffects();
}

void health_coordinator::updateRole(const service &Service,
                                    service_state &State,
                                    const health_context &Fleet) {
  const auto Owner = ownerOf(Service.Name, Fleet);
  if (Owner != State.Owner)
    Collector.reportAll();
  State.Owner = Owner;
  const shard_number Shard = shardOf(Service.Name);
  if (Fleet.Ownership.mayAct(Shard, Fleet.Now)) {
    const epoch Term = Fleet.Ownership.Map.at(Shard)->Epoch;
    const auto *Owning = std::get_if<owning_role>(&State.Role);
    const auto *Recovering = std::get_if<recovering_role>(&State.Role);
    if ((Owning && Owning->Term == Term) ||
        (Recovering && Recovering->Term == Term))
      return;
    State.Role = recovering_role{.Term = Term,
                                 .Until = Fleet.Now + Options.RecoveryTime,
                                 .Detector = makeDetector(Service, Fleet.Now)};
    for (const target_id Each : drainingTargets(Service, Fleet.Now))
      dispatch(Service.Name, State, drain_noticed{Each}, Fleet.Now);
    for (const member &Member : Fleet.Members.Members)
      send(Member.Vm, verdict_query{Service.Name});
    return;
  }
  const bool CanFollow = Owner && isReachable(*Owner, Options.Self, Fleet);
  if (CanFollow && !std::holds_alternative<following_role>(State.Role)) {
    State.Role = following_role{};
    Effects.ConditionsChanged = true;
    // The owner may have been unreachable when the notices arrived.
    for (const target_id Each : drainingTargets(Service, Fleet.Now))
      send(Owner->Vm, drain_notice{.Service = Service.Name, .Target = Each});
  }
  if (!CanFollow && !std::holds_alternative<standalone_role>(State.Role)) {
    State.Role = standalone_role{makeDetector(Service, Fleet.Now)};
    Effects.ConditionsChanged = true;
  }
}

std::vector<target_id>
health_coordinator::drainingTargets(const service &Service, instant Now) const {
  std::vector<target_id> Draining;
  for (const target &Each : Service.Targets)
    if (const auto Notice = DrainNotices.find(Each.Name);
        Notice != DrainNotices.end() && Notice->second > Now)
      Draining.push_back(targetIdOf(Each.Name));
  return Draining;
}

service_health health_coordinator::makeDetector(const service &Service,
                                                instant Now) const {
  service_health Detector(service_health_options{});
  Detector.configure(Service, Now);
  if (const service_verdicts *Held = Store.find(Service.Name))
    Detector.adopt(*Held, Now);
  return Detector;
}

void health_coordinator::startOwning(const service &Service,
                                     service_state &State, instant Now) {
  auto &Recovering = std::get<recovering_role>(State.Role);
  service_health Detector = std::move(Recovering.Detector);
  const epoch Term = Recovering.Term;
  Detector.beginTerm(Term, Store.versionOf(Service.Name));
  State.Role = owning_role{.Term = Term, .Detector = std::move(Detector)};
  service_health &Own = std::get<owning_role>(State.Role).Detector;
  if (const service_verdicts *Held = Store.find(Service.Name))
    recordDecisions(Service.Name, State, Own.adopt(*Held, Now));
  publish(Own.verdicts(), Own.observers());
}

health_effects
health_coordinator::observe(std::span<const attempt_observation> Attempts,
                            const health_context &Fleet) {
  const auto Conditions = conditions(Fleet.Now);
  const auto Draining = Collector.observe(
      Attempts, Fleet.Now, [&Conditions](const target_name &Target) {
        const auto Found = Conditions.find(Target);
        return Found != Conditions.end() &&
               Found->second == target_condition::Trial;
      });
  for (const attempt_observation &Attempt : Draining)
    handleDrainSignal(Attempt, Fleet);
  return takeEffects();
}

void health_coordinator::handleDrainSignal(const attempt_observation &Attempt,
                                           const health_context &Fleet) {
  service_state *State = findState(Attempt.Service);
  if (!State)
    return;
  const target_id Id = targetIdOf(Attempt.Target);
  const bool IsNew = DrainNotices.try_emplace(Attempt.Target, Fleet.Now).second;
  DrainNotices[Attempt.Target] = Fleet.Now + Options.UnconfirmedDrainTime;
  dispatch(Attempt.Service, *State, drain_noticed{Id}, Fleet.Now);
  if (!IsNew)
    return;
  Effects.ConditionsChanged = true;
  const drain_notice Notice{.Service = Attempt.Service, .Target = Id};
  if (std::holds_alternative<following_role>(State->Role))
    send(State->Owner->Vm, Notice);
  else if (std::holds_alternative<standalone_role>(State->Role))
    for (const member &Member : Fleet.Members.Members)
      send(Member.Vm, Notice);
}

health_effects health_coordinator::receive(const health_sender &Sender,
                                           const health_message &Message,
                                           const health_context &Fleet) {
  std::visit([&](const auto &Each) { on(Sender, Each, Fleet); }, Message);
  return takeEffects();
}

void health_coordinator::on(const health_sender &Sender,
                            const service_report &Report,
                            const health_context &Fleet) {
  service_state *State = findState(Report.Service);
  if (!State || std::holds_alternative<following_role>(State->Role) ||
      std::holds_alternative<standalone_role>(State->Role))
    return;
  dispatch(Report.Service, *State,
           report_received{.Observer = Sender.Vm,
                           .DataCenter = Sender.DataCenter,
                           .Report = Report},
           Fleet.Now);
  if (const auto *Owning = std::get_if<owning_role>(&State->Role)) {
    if (Report.Held < Owning->Detector.verdicts().Version)
      send(Sender.Vm, Owning->Detector.verdicts());
  } else if (Report.Held > Store.versionOf(Report.Service)) {
    send(Sender.Vm, verdict_query{Report.Service});
  }
}

void health_coordinator::on(const health_sender & /*Sender*/,
                            const service_verdicts &Set,
                            const health_context & /*Fleet*/) {
  if (Store.accept(Set))
    Effects.ConditionsChanged = true;
}

void health_coordinator::on(const health_sender & /*Sender*/,
                            const drain_notice &Notice,
                            const health_context &Fleet) {
  service_state *State = findState(Notice.Service);
  if (!State)
    return;
  dispatch(Notice.Service, *State, drain_noticed{Notice.Target}, Fleet.Now);
  const service *Service = Configuration->findService(Notice.Service);
  for (const target &Target : Service->Targets)
    if (targetIdOf(Target.Name) == Notice.Target) {
      DrainNotices[Target.Name] = Fleet.Now + Options.UnconfirmedDrainTime;
      Effects.ConditionsChanged = true;
    }
}

void health_coordinator::on(const health_sender &Sender,
                            const verdict_query &Query,
                            const health_context & /*Fleet*/) {
  if (const service_verdicts *Held = Store.find(Query.Service))
    send(Sender.Vm, *Held);
}

health_effects health_coordinator::tick(const health_context &Fleet) {
  if (!Configuration)
    return takeEffects();
  expireDrainNotices(Fleet.Now);
  for (const service &Service : Configuration->configuration().Services) {
    service_state &State = Services[Service.Name];
    updateRole(Service, State, Fleet);
    const auto *Recovering = std::get_if<recovering_role>(&State.Role);
    if (Recovering && Fleet.Now >= Recovering->Until)
      startOwning(Service, State, Fleet.Now);
  }
  for (service_report &Report : Collector.takeReports(Fleet.Now))
    deliverReport(std::move(Report), Fleet);
  for (auto &[Name, State] : Services)
    if (!std::holds_alternative<recovering_role>(State.Role))
      dispatch(Name, State, time_passed{}, Fleet.Now);
  return takeEffects();
}

void health_coordinator::deliverReport(service_report Report,
                                       const health_context &Fleet) {
  service_state *State = findState(Report.Service);
  if (!State)
    return;
  Report.Held = Store.versionOf(Report.Service);
  if (std::holds_alternative<following_role>(State->Role)) {
    send(State->Owner->Vm, std::move(Report));
    return;
  }
  const service_name Name = Report.Service;
  dispatch(Name, *State,
           report_received{.Observer = Options.Self,
                           .DataCenter = Options.DataCenter,
                           .Report = std::move(Report)},
           Fleet.Now);
}

void health_coordinator::dispatch(const service_name &Name,
                                  service_state &State,
                                  const health_event &Event, instant Now) {
  service_health *Detector = detectorOf(State.Role);
  if (!Detector)
    return;
  const verdict_version Before = Detector->verdicts().Version;
  recordDecisions(Name, State, Detector->handle(Event, Now));
  publishChanges(State, Before);
}

void health_coordinator::publishChanges(service_state &State,
                                        verdict_version Before) {
  const service_health &Detector = *detectorOf(State.Role);
  if (Detector.verdicts().Version == Before)
    return;
  Effects.ConditionsChanged = true;
  if (std::holds_alternative<owning_role>(State.Role))
    publish(Detector.verdicts(), Detector.observers());
}

void health_coordinator::publish(const service_verdicts &Set,
                                 std::span<const vm_name> Observers) {
  Store.accept(Set);
  Effects.ConditionsChanged = true;
  for (const vm_name &Observer : Observers)
    send(Observer, Set);
}

void health_coordinator::recordDecisions(const service_name &Name,
                                         const service_state &State,
                                         health_decisions Decisions) {
  const bool IsStandalone = std::holds_alternative<standalone_role>(State.Role);
  for (health_decision &Decision : Decisions)
    Effects.Decisions.push_back({Name, std::move(Decision), IsStandalone});
}

void health_coordinator::send(const vm_name &To, health_message Message) {
  if (To != Options.Self)
    Effects.Messages.push_back({To, std::move(Message)});
}

void health_coordinator::expireDrainNotices(instant Now) {
  const auto Ended = std::erase_if(
      DrainNotices, [Now](const auto &Entry) { return Entry.second <= Now; });
  if (Ended > 0)
    Effects.ConditionsChanged = true;
}

health_coordinator::service_state *
health_coordinator::findState(const service_name &Name) {
  const auto Found = Services.find(Name);
  return Found == Services.end() ? nullptr : &Found->second;
}

std::unordered_map<target_name, target_condition>
health_coordinator::conditions(instant Now) const {
  std::unordered_map<target_name, target_condition> Conditions;
  for (const auto &[Name, State] : Services) {
    const auto *Standalone = std::get_if<standalone_role>(&State.Role);
    const service_verdicts *Set =
        Standalone ? &Standalone->Detector.verdicts() : Store.find(Name);
    if (!Set)
      continue;
    for (const target_verdict &Verdict : Set->Targets) {
      const target_condition Condition =
          conditionUnder(Verdict, Options.DataCenter);
      if (Condition != target_condition::Serving)
        Conditions.emplace(Verdict.Target, Condition);
    }
  }
  for (const auto &[Target, Until] : DrainNotices)
    if (Until > Now)
      Conditions[Target] = target_condition::Draining;
  return Conditions;
}

} // namespace peridot
