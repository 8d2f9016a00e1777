/// \file
/// Chooses the target of an attempt; part of request_relay.
#include "transport/callers/internal/request_relay.h"

#include <algorithm>

#include "coordination/routing/target_choice.h"

namespace peridot {

namespace {

bool contains(std::span<const target_name> Names, const target_name &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

} // namespace

std::size_t request_relay::expectedBytes(const route &Route) const {
  const std::size_t BodyBytes = std::max<std::size_t>(
      BufferedBody.size(), Request.content_length().value_or(0));
  return BodyBytes + Worker.routeStatistics().typicalResponseBytes(Route);
}

bool request_relay::mayRetry(const admitted_request &Admitted,
                             const retry_budget &Retries) const {
  const route &Route = *Admitted.Route;
  return Route.IsRepeatable && ConnectedAttempts + 1 < Route.MaxAttempts &&
         Retries.hasRetry(reservedRetries(Admitted));
}

const target *request_relay::choose(const admitted_request &Admitted,
                                    const routing_snapshot &Snapshot,
                                    const retry_budget &Retries) {
  load_balancer *LoadBalancer = Worker.loadBalancer();
  if (!LoadBalancer)
    return chooseByVerdicts(Admitted, Snapshot);
  const std::span<const target> Targets = Snapshot.targetsOf(*Admitted.Service);
  const instant Now = bootNow();
  const bool IsRepeatable = mayRetry(Admitted, Retries);
  std::vector<target_name> Unusable = Worker.pauses().pausedAmong(Targets, Now);
  if (cold_targets *Cold = Worker.coldTargets()) {
    const cold_target_choice ForCold =
        Cold->choiceFor(Admitted.Service->Name, IsRepeatable, Now);
    ChosenForFloor = true;
    if (const target *Due =
            chooseDueColdTarget(Targets, ForCold.Due, Unusable, Now))
      return Due;
    Unusable.insert(Unusable.end(), ForCold.Closed.begin(),
                    ForCold.Closed.end());
  }
  return chooseByCost(*LoadBalancer, Targets, std::move(Unusable),
                      {.Service = Admitted.Service->Name.view(),
                       .IsRepeatable = IsRepeatable,
                       .ExpectedBytes = expectedBytes(*Admitted.Route),
                       .Tried = TriedTargets},
                      Now);
}

const target *request_relay::chooseByCost(load_balancer &LoadBalancer,
                                          std::span<const target> Targets,
                                          std::vector<target_name> Unusable,
                                          request_traits Traits, instant Now) {
  while (true) {
    Traits.Paused = Unusable;
    const load_balancer_choice Choice =
        LoadBalancer.choose(Targets, Traits,
                            {.DataCenter = Worker.options().DataCenter,
                             .Now = Now,
                             .Random = Worker.random()});
    ChosenForFloor = Choice.IsForFloor;
    if (!Choice.Target || admitToTarget(*Choice.Target, Now))
      return Choice.Target;
    // Another traffic thread has taken the last token.
    Unusable.push_back(Choice.Target->Name);
  }
}

const target *
request_relay::chooseByVerdicts(const admitted_request &Admitted,
                                const routing_snapshot &Snapshot) {
  const std::span<const target> Targets = Snapshot.targetsOf(*Admitted.Service);
  const instant Now = bootNow();
  std::vector<target_candidate> Candidates;
  Candidates.reserve(Targets.size());
  for (const target &Target : Targets) {
    if (Worker.pauses().isPaused(Target, Now))
      continue;
    Candidates.push_back(
        {.Target = &Target,
         .Outstanding = Worker.targets().outstanding(Target.Name),
         .ConnectionLimit = Worker.targets().connectionLimitOf(Target),
         .IsInSameDataCenter = Target.DataCenter == Worker.options().DataCenter,
         .HasBeenTried = std::ranges::find(TriedTargets, Target.Name) !=
                         TriedTargets.end()});
  }
  return chooseTarget(Snapshot, Candidates, Worker.random(),
                      Admitted.Route->IsRepeatable);
}

bool request_relay::admitToTarget(const target &Target, instant Now) {
  ColdTokenAt.reset();
  cold_targets *Cold = Worker.coldTargets();
  if (!Cold)
    return true;
  const cold_admission Admission = Cold->take(Target.Name, Now);
  if (Admission == cold_admission::Taken)
    ColdTokenAt = Now;
  return Admission != cold_admission::Closed;
}

const target *request_relay::chooseDueColdTarget(
    std::span<const target> Targets, std::span<const target_name> Due,
    std::span<const target_name> Paused, instant Now) {
  for (const target_name &Name : Due) {
    const auto Found = std::ranges::find(Targets, Name, &target::Name);
    if (Found == Targets.end() || contains(TriedTargets, Name) ||
        contains(Paused, Name))
      continue;
    if (admitToTarget(*Found, Now))
      return &*Found;
  }
  return nullptr;
}

bool request_relay::maySendTo(const target &Target) {
  cold_targets *Cold = Worker.coldTargets();
  const bool MaySend =
      !Cold || Cold->maySend(Target.Name, ColdTokenAt, bootNow());
  if (!MaySend)
    Worker.metrics()
        .getOrCreateCounter("peridot_cold_target_withheld_total")
        .add();
  else if (ColdTokenAt)
    Worker.metrics()
        .getOrCreateCounter("peridot_cold_target_requests_total")
        .add();
  return MaySend;
}

} // namespace peridot
