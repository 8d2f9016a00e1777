#include "coordination/capacity/urgency.h"

#include <algorithm>
#include <functional>
#include <set>

#include "state/configuration/configuration_index.h"

namespace peridot {

namespace {

bool usesService(const service &Declaring, const route &Route,
                 const service_name &Service) {
  if (Route.Split.empty())
    return Declaring.Name == Service;
  return std::ranges::find(Route.Split, Service, &weighted_service::Service) !=
         Route.Split.end();
}

} // namespace

urgency_class urgencyClassOf(const client_account *Account,
                             const route &Route) {
  return {.AccountPriority = Account ? Account->Priority : DefaultPriority,
          .RoutePriority = Route.Priority};
}

urgency urgencyOf(const client_account *Account, const route &Route,
                  const request_times &Times) {
  const duration Waited =
      std::max<duration>(Route.Deadline - Times.TimeLeft, duration{0});
  urgency Urgency{.Class = urgencyClassOf(Account, Route),
                  .WaitingSince = Times.ArrivedAt - Waited};
  if (Route.TargetLatency > duration{0})
    Urgency.LatestTimelyStart =
        Urgency.WaitingSince + Route.TargetLatency - Times.TypicalLatency;
  return Urgency;
}

bool hasPriorities(const fleet_configuration &Configuration,
                   const service &Service) {
  std::set<unsigned> OfRoutes;
  std::set<unsigned> OfAccounts;
  for (const service &Declaring : Configuration.Services) {
    bool IsUsed = false;
    for (const route &Route : Declaring.Routes) {
      if (!usesService(Declaring, Route, Service.Name))
        continue;
      IsUsed = true;
      OfRoutes.insert(Route.Priority);
      if (Route.IsOpen)
        OfAccounts.insert(DefaultPriority);
    }
    if (!IsUsed)
      continue;
    for (const client_account &Account : Configuration.Accounts)
      if (mayCall(Account, Declaring.Name))
        OfAccounts.insert(Account.Priority);
  }
  return OfRoutes.size() > 1 || OfAccounts.size() > 1;
}

route_id routeIdOf(const route &Route) {
  constexpr std::size_t Multiplier = 31;
  const std::hash<std::string> Hash;
  std::size_t Id = Hash(Route.PathPrefix) * Multiplier + Hash(Route.Host);
  for (const std::string &Method : Route.Methods)
    Id = Id * Multiplier + Hash(Method);
  return {Id};
}

} // namespace peridot
