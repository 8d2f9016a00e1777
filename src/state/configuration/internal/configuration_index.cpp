#include "state/configuration/configuration_index.h"

#include <algorithm>

namespace peridot {

namespace {

bool allowsMethod(const route &Route, std::string_view Method) {
  return Route.Methods.empty() ||
         std::ranges::find(Route.Methods, Method) != Route.Methods.end();
}

/// Returns the next shorter prefix of \p Path that ends before or after a
/// slash; empty when there is none.
std::string_view shorterPrefix(std::string_view Path) {
  if (Path.size() <= 1)
    return {};
  if (Path.back() == '/')
    return Path.substr(0, Path.size() - 1);
  return Path.substr(0, Path.rfind('/') + 1);
}

} // namespace

configuration_index::configuration_index(fleet_configuration Accepted)
    : Configuration(std::move(Accepted)) {
  for (const service &Service : Configuration.Services) {
    ServicesByName.emplace(Service.Name, &Service);
    for (const route &Route : Service.Routes)
      RoutesByHost[Route.Host][Route.PathPrefix].push_back({&Service, &Route});
  }
  for (const client_account &Account : Configuration.Accounts) {
    AccountsByName.emplace(Account.Name, &Account);
    for (const key_digest &Digest : Account.Keys)
      AccountsByKey.emplace(Digest, &Account);
  }
}

route_match configuration_index::findRoute(std::string_view Host,
                                           std::string_view Method,
                                           std::string_view Path) const {
  const std::string_view WithoutQuery = Path.substr(0, Path.find('?'));
  for (const std::string_view Each : {Host, std::string_view()}) {
    const auto Prefixes = RoutesByHost.find(Each);
    if (Prefixes == RoutesByHost.end())
      continue;
    const route_match Match =
        findByPrefix(Prefixes->second, Method, WithoutQuery);
    if (Match.Route || Host.empty())
      return Match;
  }
  return {};
}

route_match configuration_index::findByPrefix(const prefix_table &Prefixes,
                                              std::string_view Method,
                                              std::string_view Path) {
  for (std::string_view Prefix = Path; !Prefix.empty();
       Prefix = shorterPrefix(Prefix)) {
    const auto Found = Prefixes.find(Prefix);
    if (Found == Prefixes.end())
      continue;
    for (const route_match &Match : Found->second)
      if (allowsMethod(*Match.Route, Method))
        return Match;
  }
  return {};
}

const client_account *
configuration_index::findAccountByKey(const key_digest &Digest) const {
  const auto Found = AccountsByKey.find(Digest);
  return Found == AccountsByKey.end() ? nullptr : Found->second;
}

const client_account *
configuration_index::findAccount(const account_name &Name) const {
  const auto Found = AccountsByName.find(Name);
  return Found == AccountsByName.end() ? nullptr : Found->second;
}

const service *
configuration_index::findService(const service_name &Name) const {
  const auto Found = ServicesByName.find(Name);
  return Found == ServicesByName.end() ? nullptr : Found->second;
}

bool mayCall(const client_account &Account, const service_name &Service) {
  return Account.CanCallAnyService ||
         std::ranges::find(Account.Services, Service) != Account.Services.end();
}

} // namespace peridot
