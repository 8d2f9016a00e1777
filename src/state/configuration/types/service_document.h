/// \file
/// Content of one service file, and the merging of documents into a
/// configuration.
#pragma once

#include <span>
#include <vector>

#include "state/base/types/error.h"
#include "state/configuration/types/fleet_configuration.h"

namespace peridot {

/// A service and the client accounts that its file declares.
struct service_document {
  service Service;
  std::vector<client_account> Accounts;

  bool operator==(const service_document &) const = default;
};

/// Merges documents into one configuration. Fails with Conflict when two
/// documents declare the same name, key or route.
result<fleet_configuration>
assemble(revision Revision, std::span<const service_document> Documents);

} // namespace peridot
