/// \file
/// Lookup tables for one immutable configuration.
#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <unordered_map>

#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// A route and the service that declares it; null pointers when there is no
/// match.
struct route_match {
  const service *Service = nullptr;
  const route *Route = nullptr;
};

/// Finds routes, accounts and services of one configuration. Immutable, so any
/// thread may read it.
class configuration_index {
public:
  explicit configuration_index(fleet_configuration Configuration);
  configuration_index(const configuration_index &) = delete;
  configuration_index &operator=(const configuration_index &) = delete;

  const fleet_configuration &configuration() const { return Configuration; }

  /// Returns the route that allows \p Method and has the longest prefix of
  /// \p Path. Routes for \p Host take precedence over routes for every host.
  /// The match is empty when there is no such route.
  route_match findRoute(std::string_view Host, std::string_view Method,
                        std::string_view Path) const;

  /// Returns the account with this key digest. Like the functions below,
  /// returns nullptr when there is none.
  const client_account *findAccountByKey(const key_digest &Digest) const;
  const client_account *findAccount(const account_name &Name) const;
  const service *findService(const service_name &Name) const;

private:
  using prefix_table =
      std::unordered_map<std::string_view, std::vector<route_match>>;

  static route_match findByPrefix(const prefix_table &Prefixes,
                                  std::string_view Method,
                                  std::string_view Path);

  fleet_configuration Configuration;
  std::unordered_map<std::string_view, prefix_table> RoutesByHost;
  std::unordered_map<key_digest, const client_account *> AccountsByKey;
  std::unordered_map<account_name, const client_account *> AccountsByName;
  std::unordered_map<service_name, const service *> ServicesByName;
};

using configuration_ptr = std::shared_ptr<const configuration_index>;

/// Whether \p Account may call \p Service.
bool mayCall(const client_account &Account, const service_name &Service);

} // namespace peridot
